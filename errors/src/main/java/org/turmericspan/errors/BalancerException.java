package org.turmericspan.errors;

/** Unchecked exception that carries a {@link ResultCode} and the details of the failure. */
public final class BalancerException extends RuntimeException {
    private final ResultCode code;
    private final String detail;

    /**
     * Creates an exception.
     *
     * @param code kind of the failure
     * @param detail details of this failure, without callers' data or tokens
     */
    public BalancerException(ResultCode code, String detail) {
        this(code, detail, null);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param code kind of the failure
     * @param detail details of this failure, without callers' data or tokens
     * @param cause the underlying failure
     */
    public BalancerException(ResultCode code, String detail, Throwable cause) {
        super(code.number() + " " + code.sentence() + " " + detail, cause);
        this.code = code;
        this.detail = detail;
    }

    /**
     * Returns the kind of the failure.
     *
     * @return the result code
     */
    public ResultCode code() {
        return code;
    }

    /**
     * Returns the details of this failure, without the number and the sentence of the code.
     *
     * @return details, without callers' data or tokens
     */
    public String detail() {
        return detail;
    }
}
