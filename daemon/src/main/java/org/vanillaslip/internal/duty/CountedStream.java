package org.vanillaslip.internal.duty;

import org.vanillaslip.internal.usage.HostUsage;

/** A stream, which counts once, at its first event. */
final class CountedStream implements CallUsage {

    private final String mWorkspace;
    private final UsageMeter mMeter;
    private final HostUsage mUsage;
    private boolean mCounted;

    CountedStream(String workspace, UsageMeter meter, HostUsage usage) {
        mWorkspace = workspace;
        mMeter = meter;
        mUsage = usage;
    }

    @Override
    public void recordSend(String server) {}

    @Override
    public void recordSendFailed(String server, boolean mayHaveRun) {}

    @Override
    public void recordCancelled(String server) {}

    @Override
    public void recordAnswer(String server) {}

    @Override
    public void recordFirstEvent() {
        if (!mCounted) {
            mCounted = true;
            mUsage.add(mMeter.window(), mWorkspace);
        }
    }
}
