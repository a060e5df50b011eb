package org.vanillaslip.internal.stream;

/** What to do with a part of an answer. */
public enum AssemblyResult {
    /** The part is the next one and is passed on. */
    PASS,
    /** The part was passed on before and is dropped. */
    DUPLICATE,
    /** Parts are missing in between; the stream has to be resumed at the next offset. */
    GAP,
    /** The part belongs to another request; the connection must not be used any further. */
    MISMATCH,
    /** The answer is complete. */
    COMPLETE
}
