package org.vanillaslip.internal.standins.engine;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Orders that reveal wrong decisions of the caller; retained across restarts. */
final class EngineViolations {

    private final List<String> mEntries = new CopyOnWriteArrayList<>();

    void recordOvercommit(EngineOrder order, long requiredBytes) {
        mEntries.add(
                "memory overcommitted: decision "
                        + order.decision()
                        + " for "
                        + order.model()
                        + " requires "
                        + requiredBytes
                        + " bytes in total");
    }

    void recordDuplicateLoad(EngineOrder order, ResidentModel present) {
        if (present.mDecision != order.decision()) {
            mEntries.add(
                    "loaded twice: "
                            + order.model()
                            + " by decisions "
                            + present.mDecision
                            + " and "
                            + order.decision());
        }
    }

    List<String> entries() {
        return List.copyOf(mEntries);
    }
}
