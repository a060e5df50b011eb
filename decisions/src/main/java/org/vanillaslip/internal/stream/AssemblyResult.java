package org.vanillaslip.internal.stream;

/** Determines how a part of an answer is handled. */
public enum AssemblyResult {
    /** The part has the next offset and is forwarded. */
    PASS,
    /** The part was forwarded before and is dropped. */
    DUPLICATE,
    /** Preceding parts are missing; the stream must be resumed at the next offset. */
    GAP,
    /** The part belongs to another request; the connection must not be used any more. */
    MISMATCH,
    /** The answer is complete. */
    COMPLETE
}
