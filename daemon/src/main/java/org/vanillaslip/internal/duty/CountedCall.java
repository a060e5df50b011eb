package org.vanillaslip.internal.duty;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.vanillaslip.internal.usage.HostUsage;

/**
 * A call that is not a stream. It counts from when it is sent to a server, since a long call would
 * otherwise count after its window is reported, and is counted in another window if another server
 * answers it.
 */
final class CountedCall implements CallUsage {

    private final String mWorkspace;
    private final UsageMeter mMeter;
    private final HostUsage mUsage;
    private final Map<String, Long> mWindowByServer = new LinkedHashMap<>();
    private @Nullable String mCountedServer;
    private long mCountedWindow;
    private boolean mFinal;

    CountedCall(String workspace, UsageMeter meter, HostUsage usage) {
        mWorkspace = workspace;
        mMeter = meter;
        mUsage = usage;
    }

    @Override
    public void recordSend(String server) {
        if (mFinal) {
            return;
        }
        mWindowByServer.put(server, mMeter.window());
        if (mCountedServer == null) {
            count(server);
        }
    }

    @Override
    public void recordSendFailed(String server, boolean mayHaveRun) {
        if (mayHaveRun) {
            return;
        }
        mWindowByServer.remove(server);
        if (!mFinal && server.equals(mCountedServer) && removeCount()) {
            mWindowByServer.keySet().stream().findFirst().ifPresent(this::count);
        }
    }

    @Override
    public void recordCancelled(String server) {
        if (server.equals(mCountedServer) && mWindowByServer.size() == 1) {
            mFinal = true;
        } else {
            recordSendFailed(server, false);
        }
    }

    @Override
    public void recordAnswer(String server) {
        if (!mFinal && !server.equals(mCountedServer) && removeCount()) {
            count(server);
        }
        mFinal = true;
    }

    @Override
    public void recordFirstEvent() {}

    private void count(String server) {
        long window = mWindowByServer.getOrDefault(server, mMeter.window());
        mCountedServer = server;
        mCountedWindow = window;
        mUsage.add(window, mWorkspace);
    }

    /** Returns whether the call is not counted now; a reported window keeps it. */
    private boolean removeCount() {
        if (mCountedServer != null && mUsage.isClosed(mCountedWindow)) {
            mFinal = true;
            return false;
        }
        if (mCountedServer != null) {
            mUsage.remove(mCountedWindow, mWorkspace);
            mCountedServer = null;
        }
        return true;
    }
}
