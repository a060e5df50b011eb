package org.vanillaslip.internal.stream;

/** Puts the parts of one answer in order over all connections that carried them. */
public final class StreamAssembler {

    private final String mRequestId;
    private long mNextOffset;
    private boolean mComplete;

    /** Creates an assembly that expects parts of the given request. */
    public StreamAssembler(String requestId) {
        mRequestId = requestId;
    }

    /** Judges a token. */
    public AssemblyResult acceptToken(String requestId, long offset) {
        if (!mRequestId.equals(requestId)) {
            return AssemblyResult.MISMATCH;
        }
        if (mComplete || offset < mNextOffset) {
            return AssemblyResult.DUPLICATE;
        }
        if (offset > mNextOffset) {
            return AssemblyResult.GAP;
        }
        mNextOffset++;
        return AssemblyResult.PASS;
    }

    /** Judges the end of the answer, which names the number of tokens it consists of. */
    public AssemblyResult acceptEnd(String requestId, long completionTokens) {
        if (!mRequestId.equals(requestId)) {
            return AssemblyResult.MISMATCH;
        }
        if (mComplete) {
            return AssemblyResult.DUPLICATE;
        }
        if (completionTokens != mNextOffset) {
            return AssemblyResult.GAP;
        }
        mComplete = true;
        return AssemblyResult.COMPLETE;
    }

    /** Returns the offset at which a new connection resumes. */
    public long nextOffset() {
        return mNextOffset;
    }

    /** Returns whether the end was seen after all parts. */
    public boolean isComplete() {
        return mComplete;
    }
}
