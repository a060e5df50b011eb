package org.vanillaslip;

/**
 * Numbered results for callers and operators. A result has the same number in the HTTP body, in the
 * log and in {@code docs/RESULT-CODES.md}.
 */
public enum ResultCode {
    UNKNOWN_ROUTE(1001, 404, true, "No route has this path.", "Check the path against the routes."),
    MISSING_KEY(1002, 401, true, "The request has no key.", "Send 'Authorization: Bearer <key>'."),
    UNKNOWN_KEY(1003, 401, true, "The key is not valid.", "Ask the operator for a valid key."),
    MALFORMED_BODY(1004, 400, true, "The body is malformed.", "Send a JSON object with 'model'."),
    BODY_TOO_LARGE(1005, 413, true, "The body is too large.", "Send a smaller body."),
    INVALID_DEADLINE(
            1006,
            400,
            true,
            "The header X-Request-Deadline-Millis is not a positive number.",
            "Send whole milliseconds, or leave the header out."),
    UNKNOWN_MODEL(1007, 404, true, "No model has this name.", "Check the model name."),
    MODEL_NOT_IN_PLAN(
            1008,
            403,
            true,
            "The plan of the workspace does not include this model or adapter.",
            "Ask the operator to add it to the plan."),
    KEY_WITHDRAWN(1009, 401, false, "The key was withdrawn.", "Ask the operator for a valid key."),
    INVALID_IDEMPOTENCY_KEY(
            1010,
            400,
            true,
            "The header Idempotency-Key is not valid.",
            "Send 1 to 255 printable characters."),
    MALFORMED_HEAD(
            1011,
            400,
            true,
            "A header that identifies the request is missing or malformed.",
            "Send the header that the detail names."),
    RATE_EXCEEDED(
            2001,
            429,
            true,
            "The workspace has used up its rate and burst.",
            "Try again after the time in Retry-After."),
    QUEUE_FULL(
            2002,
            503,
            true,
            "Too many requests are waiting.",
            "Try again after the time in Retry-After."),
    DEADLINE_UNREACHABLE(
            2003,
            503,
            true,
            "The request cannot be answered before its deadline.",
            "Try again after the time in Retry-After, or allow more time."),
    DEADLINE_EXPIRED(
            2004,
            504,
            false,
            "The deadline passed before the answer started.",
            "Repeat the request only if it is idempotent."),
    REQUEST_EXCEEDS_BURST(
            2005,
            400,
            true,
            "The request needs more tokens than the burst of the plan.",
            "Ask for fewer tokens."),
    BODIES_EXCEED_MEMORY(
            2006,
            503,
            true,
            "The bodies of all requests at this host exceed its memory.",
            "Try again after the time in Retry-After."),
    HOST_STOPPING(3001, 503, true, "This host is stopping.", "Try again at once."),
    NOT_READY(
            3002,
            503,
            true,
            "This host has no configuration yet.",
            "Try again after the time in Retry-After."),
    NO_BACKEND_SERVER(
            3003,
            503,
            true,
            "No backend server can take the request.",
            "Try again after the time in Retry-After."),
    PLATFORM_UNAVAILABLE(
            3004,
            503,
            true,
            "The attempt could not be recorded, because the platform did not answer.",
            "Try again with the same Idempotency-Key."),
    CONFIGURATION_TOO_OLD(
            3005,
            503,
            true,
            "The configuration of this host is older than the operator allows.",
            "Try again after the time in Retry-After."),
    BACKEND_FAILED(
            3006,
            502,
            false,
            "The backend server failed; the request may have run.",
            "Repeat the request only if it is idempotent."),
    STREAM_INCOMPLETE(
            3007,
            502,
            false,
            "The stream broke and could not be resumed; the answer is incomplete.",
            "Repeat the request only if it is idempotent."),
    ANSWER_MISMATCHED(
            3008,
            502,
            false,
            "The backend server sent the answer of another request; it was discarded.",
            "Repeat the request only if it is idempotent."),
    PROMPT_QUARANTINED(
            3009,
            503,
            true,
            "A part of the prompt crashed backend servers and is kept from them.",
            "Leave the part out, or try again after the time in Retry-After."),
    CALL_QUARANTINED(
            3010,
            502,
            false,
            "This call crashed the backend servers that ran it and is kept from them.",
            "Do not repeat the call; the operator can release it."),
    OUTCOME_UNKNOWN(
            4001,
            409,
            false,
            "An earlier attempt with this Idempotency-Key may have run; its outcome is unknown.",
            "Check the state with the service before using a new key."),
    ATTEMPT_IN_PROGRESS(
            4002,
            409,
            false,
            "An attempt with this Idempotency-Key is running.",
            "Ask again with the same key after the time in Retry-After."),
    IDEMPOTENCY_KEY_REUSED(
            4003,
            422,
            true,
            "This Idempotency-Key was used with a different request.",
            "Use a new key for a new request."),
    INTERNAL_ERROR(5001, 500, false, "An internal error occurred.", "Report the request id."),
    INVALID_CONFIGURATION(
            6001, 422, true, "The configuration is not valid.", "Correct every listed fault."),
    VERSION_CONFLICT(
            6002,
            409,
            true,
            "Another operator changed the item in the meantime.",
            "Look at the current version and apply the change again."),
    UNKNOWN_ITEM(6003, 404, true, "No configuration item has this name.", "Check the name."),
    INVALID_SETTINGS(
            6004, 400, true, "The settings file is not valid.", "Correct every listed fault.");

    private final int mNumber;
    private final int mHttpStatus;
    private final boolean mNotRun;
    private final String mCause;
    private final String mRemedy;

    ResultCode(int number, int httpStatus, boolean notRun, String cause, String remedy) {
        mNumber = number;
        mHttpStatus = httpStatus;
        mNotRun = notRun;
        mCause = cause;
        mRemedy = remedy;
    }

    /** Returns the stable number of this code. */
    public int number() {
        return mNumber;
    }

    /** Returns the HTTP status of responses with this code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns whether it is certain that no byte of the request reached a backend server. */
    public boolean notRun() {
        return mNotRun;
    }

    /** Returns a description of what happened. */
    public String cause() {
        return mCause;
    }

    /** Returns what the caller or operator can do about it. */
    public String remedy() {
        return mRemedy;
    }
}
