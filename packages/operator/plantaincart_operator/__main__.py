"""Entry point of ``python -m plantaincart_operator``."""

from plantaincart_operator.command import main

if __name__ == "__main__":
    main()
