package org.vanillaslip.internal.control.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.vanillaslip.ItemName;
import org.vanillaslip.Plan;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.internal.platform.ConfigurationCodec;
import org.vanillaslip.messages.ConfigurationItems;
import org.vanillaslip.messages.ConfigurationObject;

/** Guards against a peer that announces a version although it lacks items with lower versions. */
class PeerItemCodecTest {

    private final PeerItemCodec mItemCodec = new PeerItemCodec(new ConfigurationCodec());

    @Test
    void encodesTheOldestItemsAndNeverSplitsAVersion() {
        List<VersionedItem> all = new ArrayList<>();
        for (int number = 0; number < 60; number++) {
            // Two items for each version, of about 40 KB each.
            all.add(largeItem(number, 1 + number / 2));
        }
        ConfigurationItems message = mItemCodec.encode(all);
        List<VersionedItem> sent =
                message.getObjectsList().stream()
                        .map(item -> mItemCodec.decode(item).get())
                        .toList();
        assertThat(sent).isEqualTo(all.subList(0, sent.size()));
        assertThat(sent.size()).isBetween(2, 58).matches(size -> size % 2 == 0, "whole versions");
        assertThat(message.getSerializedSize())
                .isLessThan(PeerItemCodec.TARGET_MESSAGE_BYTES + (100 << 10));
    }

    @Test
    void reportsMalformedJsonAsAFault() {
        ConfigurationObject object =
                ConfigurationObject.newBuilder()
                        .setName("plan.p")
                        .setVersion(3)
                        .setSpecJson(ByteString.copyFromUtf8("{"))
                        .build();
        assertThat(mItemCodec.decode(object).isLeft()).isTrue();
    }

    private static VersionedItem largeItem(int number, long version) {
        Set<String> adapters =
                IntStream.range(0, 2000)
                        .mapToObj(adapter -> "adapter-number-" + adapter)
                        .collect(Collectors.toSet());
        Plan plan = new Plan("plan-" + number, Set.of(), adapters, 1, 1);
        return new VersionedItem(ItemName.of(plan), version, Optional.of(plan));
    }
}
