"""x"""


def write(): ...
