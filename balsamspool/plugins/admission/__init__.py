"""Admission plug-in: slots, queue, request keys."""

from balsamspool.plugins.admission.decision import Admit, Decision, Refuse, Relay, Shed
from balsamspool.plugins.admission.plugin import AdmissionPlugin

__all__ = ["Admit", "AdmissionPlugin", "Decision", "Refuse", "Relay", "Shed"]
