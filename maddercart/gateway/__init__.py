"""An HTTP gateway that is configured by a file and balances load as the sidecar does."""
