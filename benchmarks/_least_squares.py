"""Least-squares fit of a linear model with a few factors."""


def fit(points: list[list[float]], values: list[float]) -> list[float]:
    """Return the least-squares coefficients.

    Args:
        points: Factors of each value, with a leading 1 for the constant term.
        values: Measured values.
    """
    size = len(points[0])
    rows = [
        [sum(p[i] * p[j] for p in points) for j in range(size)]
        + [sum(p[i] * v for p, v in zip(points, values, strict=True))]
        for i in range(size)
    ]
    for column in range(size):
        pivot = max(range(column, size), key=lambda r: abs(rows[r][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        for row in range(size):
            if row != column:
                factor = rows[row][column] / rows[column][column]
                rows[row] = [
                    a - factor * b for a, b in zip(rows[row], rows[column], strict=True)
                ]
    return [rows[i][size] / rows[i][i] for i in range(size)]
