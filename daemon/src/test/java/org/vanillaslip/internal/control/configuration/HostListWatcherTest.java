package org.vanillaslip.internal.control.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.vanillaslip.Host;
import org.vanillaslip.internal.control.configuration.TestPlatform.TestHost;

/** Guards against hosts that stay listed after their removal or are restored from an older list. */
class HostListWatcherTest {

    private final TestPlatform mPlatform = new TestPlatform();

    @Test
    void emitsEachAddedAndRemovedHost() {
        mPlatform.addHost("a");
        TestHost host = mPlatform.startHost("a");
        List<List<Host>> changes = new ArrayList<>();
        mPlatform.advanceTime(Duration.ofMillis(1));
        assertThat(host.hosts().hosts()).extracting(Host::name).containsExactly("a");
        host.hosts().changes().subscribe(changes::add);
        mPlatform.addHost("b");
        mPlatform.advanceTime(Duration.ofMillis(1));
        mPlatform.mStorage.delete("hosts", "a", 0);
        mPlatform.advanceTime(Duration.ofMillis(1));
        assertThat(changes.stream().map(hosts -> hosts.stream().map(Host::name).toList()))
                .containsExactly(List.of("a", "b"), List.of("b"));
    }

    @Test
    void leavesOutAnUnreadableEntry() {
        mPlatform.addHost("a");
        mPlatform.mStorage.create("hosts", "b", JsonNodeFactory.instance.objectNode());
        TestHost host = mPlatform.startHost("a");
        mPlatform.advanceTime(Duration.ofMillis(1));
        assertThat(host.hosts().hosts()).extracting(Host::name).containsExactly("a");
    }

    @Test
    void anOlderListDoesNotRestoreARemovedHost() {
        HostListState.Entry listed =
                new HostListState.Entry(
                        3, Optional.of(new Host("a", TestPlatform.NORTH, "127.0.0.1:1", false)));
        HostListState state =
                HostListState.empty()
                        .withList(Map.of("a", listed), 3)
                        .withEntry("a", new HostListState.Entry(5, Optional.empty()))
                        .withList(Map.of("a", listed), 4);
        assertThat(state.hosts()).isEmpty();
        assertThat(state.entries().get("a").map(HostListState.Entry::version))
                .isEqualTo(Option.of(5L));
    }
}
