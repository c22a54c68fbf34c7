package cacheproxy.quota;

/** A definition of quotas is invalid; the message names the owner and the reason, for operators. */
public final class InvalidQuotaException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidQuotaException(String message) {
        super(message);
    }
}
