package org.vanillaslip.internal.quota;

import java.util.function.Consumer;
import org.vanillaslip.BackendServer;
import org.vanillaslip.internal.gateway.Slot;

/** A granted slot that is renewed until it is released. Confined to the decision loop. */
final class HeldSlot implements Slot {

    private final BackendServer mServer;
    private final String mIncarnation;
    private final long mId;
    private final Consumer<HeldSlot> mRelease;

    HeldSlot(BackendServer server, String incarnation, long id, Consumer<HeldSlot> release) {
        mServer = server;
        mIncarnation = incarnation;
        mId = id;
        mRelease = release;
    }

    BackendServer server() {
        return mServer;
    }

    String incarnation() {
        return mIncarnation;
    }

    long id() {
        return mId;
    }

    @Override
    public void release() {
        mRelease.accept(this);
    }
}
