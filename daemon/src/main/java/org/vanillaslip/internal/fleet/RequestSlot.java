package org.vanillaslip.internal.fleet;

import java.util.Optional;
import org.vanillaslip.ModelName;

/**
 * A request slot of a server, reserved for one call; used on the decision loop only. Whoever holds
 * it releases it when the call ends, however it ends.
 */
public final class RequestSlot {

    private final FleetMember mServer;
    private final Optional<ModelName> mModel;
    private final long mHealthCall;
    private boolean mReleased;

    /**
     * Creates a slot that is reserved.
     *
     * @param healthCall number of the call in the health of the server
     */
    RequestSlot(FleetMember server, Optional<ModelName> model, long healthCall) {
        mServer = server;
        mModel = model;
        mHealthCall = healthCall;
    }

    /** Returns the server. */
    public FleetMember server() {
        return mServer;
    }

    /** Returns the model of the call, if it needs one. */
    Optional<ModelName> model() {
        return mModel;
    }

    /**
     * Releases the slot, once.
     *
     * @return whether the call was a probe of a paused server that ended without a result
     */
    public boolean release() {
        if (mReleased) {
            return false;
        }
        mReleased = true;
        mServer.recordCallEnd(mModel);
        return mServer.health().recordEnd(mHealthCall);
    }
}
