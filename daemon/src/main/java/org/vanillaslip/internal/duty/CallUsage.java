package org.vanillaslip.internal.duty;

/** Counts one call in the window in which a backend server began to run it. */
public interface CallUsage {

    /** Counts nothing. */
    CallUsage NONE =
            new CallUsage() {
                @Override
                public void recordSend(String server) {}

                @Override
                public void recordSendFailed(String server, boolean mayHaveRun) {}

                @Override
                public void recordCancelled(String server) {}

                @Override
                public void recordAnswer(String server) {}

                @Override
                public void recordFirstEvent() {}
            };

    /** Records that the call is sent to the server. */
    void recordSend(String server);

    /**
     * Records that the server has not answered the call, which may be sent to another.
     *
     * @param mayHaveRun whether the server may have begun to run the call
     */
    void recordSendFailed(String server, boolean mayHaveRun);

    /** Records that the server runs the call and its answer is no longer wanted. */
    void recordCancelled(String server);

    /** Records that the server's answer is passed on. */
    void recordAnswer(String server);

    /** Records the first event of a stream. */
    void recordFirstEvent();
}
