"""Self-signed certificate for tests and the demonstration."""

from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509 import (
    CertificateBuilder,
    DNSName,
    Name,
    NameAttribute,
    SubjectAlternativeName,
    random_serial_number,
)
from cryptography.x509.oid import NameOID


def write_certificate(folder: Path) -> tuple[Path, Path]:
    """Write a P-256 certificate and its key, valid for ten days.

    Args:
        folder: Folder for the two files.

    Returns:
        Paths of the certificate and of the private key.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    name = Name([NameAttribute(NameOID.COMMON_NAME, "balsamspool.example")])
    start = datetime.now(UTC) - timedelta(days=1)
    certificate = (
        CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + timedelta(days=10))
        .add_extension(SubjectAlternativeName([DNSName("balsamspool.example")]), False)
        .sign(key, SHA256())
    )
    certificate_path, key_path = folder / "certificate.pem", folder / "key.pem"
    certificate_path.write_bytes(certificate.public_bytes(Encoding.PEM))
    key_path.write_bytes(
        key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    )
    return certificate_path, key_path
