package org.vanillaslip.internal.stream;

/** Detects gaps and duplicates among the parts of one answer, over all of its connections. */
public final class StreamAssembler {

    private final String mRequestId;
    private long mNextOffset;
    private boolean mComplete;

    /** Creates an assembler for the answer to the given request. */
    public StreamAssembler(String requestId) {
        mRequestId = requestId;
    }

    /** Returns how to handle a token. */
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

    /** Returns how to handle the end of the answer, which states its total number of tokens. */
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

    /** Returns the offset at which a new connection must resume. */
    public long nextOffset() {
        return mNextOffset;
    }

    /** Returns whether all parts and the end of the answer were received. */
    public boolean isComplete() {
        return mComplete;
    }
}
