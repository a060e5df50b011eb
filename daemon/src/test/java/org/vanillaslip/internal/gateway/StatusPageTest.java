package org.vanillaslip.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a status page that hides the loss of a peer or the holder of a control shard. */
class StatusPageTest {

    @Test
    void listsLiveHostsHeldControlShardsAndConfigurationFaults() {
        try (GatewayHarness harness = new GatewayHarness()) {
            assertThat(harness.awaitResponse(harness.get("/status"), Duration.ZERO).body())
                    .contains("\"live_hosts\":[\"host-1\",\"host-2\",\"host-3\"]")
                    .contains("\"held_control_shards\":[]")
                    .contains("\"configuration_faults\":[\"workspace.w: plan is 'gone'");
            harness.mShardHolder = "host-1";
            assertThat(harness.awaitResponse(harness.get("/status"), Duration.ZERO).body())
                    .contains("\"held_control_shards\":[\"shard-1\"]");
        }
    }
}
