package org.vanillaslip.internal.control.placement;

import static org.vanillaslip.internal.logging.LogField.field;

import java.time.Duration;
import org.vanillaslip.ModelName;
import org.vanillaslip.internal.logging.EventLog;
import org.vanillaslip.internal.placement.Order;
import org.vanillaslip.internal.placement.ShardEvent;

/** Logs placement decisions and their outcomes. */
final class PlacementLog {

    private final EventLog mLog;

    PlacementLog(EventLog log) {
        mLog = log;
    }

    void logEvent(ShardEvent event) {
        mLog.log(
                PlacementEvent.of(event.kind()),
                field("model", event.model()),
                field("server", event.server()),
                field("reason", event.reason()));
    }

    void logOfflineOrder(Order order) {
        mLog.log(
                PlacementEvent.OFFLINE_LOAD,
                field("model", order.model()),
                field("server", order.server()),
                field("reason", "neither the platform nor a lease holder can be reached"));
    }

    void logRemoteActivation(ModelName model, String host, Duration wait) {
        mLog.log(
                PlacementEvent.REMOTE_ACTIVATION,
                field("model", model),
                field("host", host),
                field("wait", wait),
                field("reason", "this failure domain cannot serve the model"));
    }

    void logUnreadableRecord(String shard, long version) {
        mLog.log(
                PlacementEvent.RECORD_UNREADABLE, field("shard", shard), field("version", version));
    }
}
