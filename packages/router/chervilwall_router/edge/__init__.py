"""Router for platforms on which targets register themselves."""
