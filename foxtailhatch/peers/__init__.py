"""The exchange between entries: websockets with CBOR."""
