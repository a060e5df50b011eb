package org.vanillaslip.internal.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanillaslip.BackendKind;
import org.vanillaslip.BackendServer;
import org.vanillaslip.ConfigurationItem;
import org.vanillaslip.FailureDomain;
import org.vanillaslip.FailureDomainEntry;
import org.vanillaslip.HostEntry;
import org.vanillaslip.ItemKind;
import org.vanillaslip.ItemName;
import org.vanillaslip.LoadTimes;
import org.vanillaslip.Model;
import org.vanillaslip.Plan;
import org.vanillaslip.RequestClass;
import org.vanillaslip.Route;
import org.vanillaslip.SlowStart;
import org.vanillaslip.VersionedItem;
import org.vanillaslip.WorkspaceEntry;
import org.vanillaslip.internal.configuration.Fault;

/** Guards against fields that are lost in encoding or decoding, and against imprecise faults. */
class ConfigurationCodecTest {

    private final ConfigurationCodec mCodec = new ConfigurationCodec();

    static List<ConfigurationItem> items() {
        Duration second = Duration.ofSeconds(1);
        FailureDomain domain = new FailureDomain("north");
        BackendKind engine = BackendKind.MODEL_ENGINE;
        return List.of(
                new Plan("p", Set.of("m"), Set.of("a", "b"), 10, 20),
                new WorkspaceEntry("w", "p", Set.of("ab".repeat(32))),
                new Route("/quotes/quick", engine, "e", true, RequestClass.BATCH, true, second),
                new Model(
                        "m",
                        "3",
                        "e",
                        8,
                        2,
                        Map.of("north", 2),
                        new LoadTimes(second, second, second)),
                new BackendServer(
                        "s",
                        domain,
                        "127.0.0.1:80",
                        engine,
                        "e",
                        "c",
                        9,
                        2,
                        true,
                        true,
                        new SlowStart(1, 8, second)),
                new FailureDomainEntry("north", true),
                new HostEntry("h", true));
    }

    @ParameterizedTest
    @MethodSource("items")
    void decodesAnEncodedItemUnchanged(ConfigurationItem item) {
        ItemName name = ItemName.of(item);
        ObjectNode spec = mCodec.encode(name, Optional.of(item));
        assertThat(mCodec.decode(stored(name.objectName(), spec)).get())
                .isEqualTo(new VersionedItem(name, 7, Optional.of(item)));
    }

    @Test
    void decodesARemovalWithItsVersion() {
        ItemName name = new ItemName(ItemKind.PLAN, "p");
        ObjectNode spec = mCodec.encode(name, Optional.empty());
        assertThat(mCodec.decode(stored("plan.p", spec)).get())
                .isEqualTo(new VersionedItem(name, 7, Optional.empty()));
    }

    @Test
    void reportsEveryFaultyFieldAtOnce() throws Exception {
        String json =
                "{'kind':'plan','name':'p','removed':false,'item':{'models':'m','adapters':[],"
                        + "'tokensPerSecond':1.5,'burstTokens':3,'burst':3}}";
        ObjectNode spec = (ObjectNode) new ObjectMapper().readTree(json.replace('\'', '"'));
        assertThat(mCodec.decode(stored("plan.p", spec)).getLeft())
                .containsExactly(
                        new Fault("plan.p", "item.models", "(string)", "a list of strings"),
                        new Fault("plan.p", "item.tokensPerSecond", "1.5", "a 64-bit integer"),
                        new Fault(
                                "plan.p",
                                "item.burst",
                                "(present)",
                                "only the fields "
                                        + "[adapters, burstTokens, models, tokensPerSecond]"));
    }

    @Test
    void rejectsAnItemStoredUnderAnotherName() {
        ObjectNode spec = mCodec.encode(new ItemName(ItemKind.PLAN, "p"), Optional.empty());
        assertThat(mCodec.decode(stored("plan.q", spec)).getLeft())
                .singleElement()
                .extracting(Fault::field)
                .isEqualTo("name");
    }

    private static StoredObject stored(String name, ObjectNode spec) {
        return new StoredObject(PlatformCollections.CONFIGURATION, name, 7, spec);
    }
}
