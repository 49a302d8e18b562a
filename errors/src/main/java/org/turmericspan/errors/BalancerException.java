package org.turmericspan.errors;

/** Unchecked exception of the balancer. It always carries a {@link ResultCode}. */
public final class BalancerException extends RuntimeException {
    private final ResultCode code;
    private final String detail;

    /**
     * Creates an exception.
     *
     * @param code what went wrong
     * @param detail the particulars, without callers' data or tokens
     */
    public BalancerException(ResultCode code, String detail) {
        this(code, detail, null);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param code what went wrong
     * @param detail the particulars, without callers' data or tokens
     * @param cause the underlying failure
     */
    public BalancerException(ResultCode code, String detail, Throwable cause) {
        super(code.number() + " " + code.sentence() + " " + detail, cause);
        this.code = code;
        this.detail = detail;
    }

    /**
     * Returns what went wrong.
     *
     * @return the result code
     */
    public ResultCode code() {
        return code;
    }

    /**
     * Returns the particulars alone.
     *
     * @return text without callers' data or tokens
     */
    public String detail() {
        return detail;
    }
}
