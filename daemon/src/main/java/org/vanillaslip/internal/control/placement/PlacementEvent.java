package org.vanillaslip.internal.control.placement;

import org.vanillaslip.internal.logging.LogEvent;
import org.vanillaslip.internal.placement.ShardEventKind;

/** Log events of placement decisions. */
public enum PlacementEvent implements LogEvent {
    LEASE_TAKEN(300, System.Logger.Level.INFO, "Control shard lease taken"),
    LEASE_LOST(301, System.Logger.Level.WARNING, "Control shard lease lost"),
    LEASE_RELEASED(302, System.Logger.Level.INFO, "Control shard lease released"),
    LOAD_DECIDED(310, System.Logger.Level.INFO, "Load decided"),
    UNLOAD_DECIDED(311, System.Logger.Level.INFO, "Unload decided"),
    LOAD_CANCELLED(312, System.Logger.Level.INFO, "Load cancelled before its order was sent"),
    LOADED(320, System.Logger.Level.INFO, "Server reports the model as loaded"),
    LOAD_NOT_EXECUTED(321, System.Logger.Level.WARNING, "Load not executed by server"),
    UNLOAD_NOT_EXECUTED(322, System.Logger.Level.WARNING, "Unload not executed by server"),
    GONE(323, System.Logger.Level.INFO, "Model no longer on server"),
    ADOPTED(324, System.Logger.Level.INFO, "Unrecorded model of a server added to the record"),
    OFFLINE_LOAD(330, System.Logger.Level.WARNING, "Load from the offline placement set ordered"),
    REMOTE_ACTIVATION(331, System.Logger.Level.INFO, "Another failure domain serves the model"),
    RECORD_UNREADABLE(340, System.Logger.Level.ERROR, "Control shard record cannot be read");

    private final int mNumber;
    private final System.Logger.Level mLevel;
    private final String mText;

    PlacementEvent(int number, System.Logger.Level level, String text) {
        mNumber = number;
        mLevel = level;
        mText = text;
    }

    /** Returns the log event for an event of a control shard. */
    static PlacementEvent of(ShardEventKind kind) {
        return valueOf(kind.name());
    }

    @Override
    public int number() {
        return mNumber;
    }

    @Override
    public System.Logger.Level level() {
        return mLevel;
    }

    @Override
    public String text() {
        return mText;
    }
}
