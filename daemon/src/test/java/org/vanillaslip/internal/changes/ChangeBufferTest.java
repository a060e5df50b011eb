package org.vanillaslip.internal.changes;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.platform.WatchEventType;
import org.vanillaslip.messages.ConfigurationObject;
import org.vanillaslip.messages.ObjectChange;

/** Tests which changes a relay sends to hosts that are behind. */
class ChangeBufferTest {

    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final ChangeBuffer mBuffer = new ChangeBuffer();

    /** Guards against links that are full of versions which nobody needs any more. */
    @Test
    void returnsOnlyTheLastChangeOfEachObject() {
        mBuffer.restartAt(10);
        ObjectChange other = change(WatchEventType.MODIFIED, "other", 12);
        ObjectChange deleted = change(WatchEventType.DELETED, "gone", 14);
        ObjectChange last = change(WatchEventType.MODIFIED, "changed", 15);
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

    /** Hosts kept up to 512 versions of the configuration, which filled their heap. */
    @Test
    void versionsOfALongObjectTakeTheMemoryOfTheLastOne() {
        mBuffer.restartAt(10);
        for (int version = 11; version < 500; version++) {
            mBuffer.add(change("main", version, MAX_VALUE_BYTES));
        }

        assertThat(mBuffer.bytes()).isLessThan(MAX_VALUE_BYTES + 1000L);
        assertThat(mBuffer.changesAfter(10)).hasValueSatisfying(one -> assertThat(one).hasSize(1));
    }

    @Test
    void longObjectsAreDroppedBeforeTheyTakeMoreThanTheLimit() {
        mBuffer.restartAt(10);
        for (int version = 11; version < 200; version++) {
            mBuffer.add(change("object-" + version, version, MAX_VALUE_BYTES / 4));

            assertThat(mBuffer.bytes()).isLessThanOrEqualTo(ChangeBuffer.MAX_BYTES);
        }

        assertThat(mBuffer.changesAfter(10)).isEmpty();
        assertThat(mBuffer.changesAfter(198)).hasValueSatisfying(one -> assertThat(one).hasSize(1));
    }

    @Test
    void anObjectThatIsLongerThanTheLimitIsNotKeptAndItsPositionIsKnown() {
        mBuffer.restartAt(10);
        mBuffer.add(change("one", 11, 10));
        mBuffer.add(change("long", 12, ChangeBuffer.MAX_BYTES + 1));
        mBuffer.add(change("two", 13, 10));

        assertThat(mBuffer.position()).isEqualTo(13);
        assertThat(mBuffer.changesAfter(11)).isEmpty();
        assertThat(mBuffer.changesAfter(12)).hasValueSatisfying(one -> assertThat(one).hasSize(1));
    }

    private static ObjectChange change(WatchEventType type, String name, long version) {
        return change(name, version, 10).toBuilder()
                .setDeleted(type == WatchEventType.DELETED)
                .build();
    }

    private static ObjectChange change(String name, long version, int bytes) {
        return ObjectChange.newBuilder()
                .setObject(
                        ConfigurationObject.newBuilder()
                                .setName(name)
                                .setVersion(version)
                                .setSpecJson(ByteString.copyFrom(new byte[bytes])))
                .build();
    }
}
