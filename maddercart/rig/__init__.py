"""Test equipment: stand-ins for servers, a load generator, a demonstration and generated plays."""
