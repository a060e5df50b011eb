package org.vanillaslip.internal.changes;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.platform.WatchEvent;
import org.vanillaslip.internal.platform.WatchEventType;

/** Tests which changes a relay sends to hosts that are behind. */
class ChangeBufferTest {

    private final ChangeBuffer mBuffer = new ChangeBuffer();

    /** Guards against links that are full of versions which nobody needs any more. */
    @Test
    void returnsOnlyTheLastChangeOfEachObject() {
        mBuffer.restartAt(10);
        WatchEvent other = change(WatchEventType.MODIFIED, "other", 12);
        WatchEvent deleted = change(WatchEventType.DELETED, "gone", 14);
        WatchEvent last = change(WatchEventType.MODIFIED, "changed", 15);
        mBuffer.add(change(WatchEventType.MODIFIED, "changed", 11));
        mBuffer.add(other);
        mBuffer.add(change(WatchEventType.MODIFIED, "gone", 13));
        mBuffer.add(deleted);
        mBuffer.add(last);

        assertThat(mBuffer.changesAfter(10))
                .hasValueSatisfying(
                        changes -> assertThat(changes).containsExactly(other, deleted, last));
    }

    @Test
    void returnsNothingIfChangesAreNoLongerBuffered() {
        mBuffer.restartAt(10);

        assertThat(mBuffer.changesAfter(9)).isEmpty();
        assertThat(mBuffer.changesAfter(10))
                .hasValueSatisfying(changes -> assertThat(changes).isEmpty());
    }

    private static WatchEvent change(WatchEventType type, String name, long version) {
        return new WatchEvent(
                type,
                new StoredObject("kind", name, version, JsonNodeFactory.instance.objectNode()));
    }
}
