package org.vanillaslip.internal.control.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.vanillaslip.Plan;
import org.vanillaslip.internal.control.configuration.TestPlatform.TestHost;

/**
 * Guards against hosts that revert to an older configuration or disagree after random changes and
 * faults.
 */
class ConfigurationFaultSequencesTest {

    private static final List<String> HOSTS = List.of("a", "b", "c");

    @Property(seed = "20261204", tries = 150)
    void neverRevertsToAnOlderVersionAndAllHostsConverge(@ForAll long seed) {
        TestPlatform platform = new TestPlatform();
        Random random = new Random(seed);
        HOSTS.forEach(platform::addHost);
        List<TestHost> hosts = HOSTS.stream().map(platform::startHost).toList();
        Map<String, Long> highestRates = new HashMap<>();
        long rate = 1;
        for (int step = 0; step < 40; step++) {
            rate++;
            injectRandomFault(platform, random, rate);
            platform.advanceTime(Duration.ofMillis(random.nextInt(8000)));
            for (int index = 0; index < hosts.size(); index++) {
                assertRatesDoNotDecrease(HOSTS.get(index), hosts.get(index), highestRates);
            }
        }
        platform.mFaults.setOutage(false);
        platform.mFaults.setSilentWatches(false);
        platform.mFaults.setRefusedFailureDomains(Set.of());
        platform.mFaults.setLostWriteAnswers(0);
        HOSTS.forEach(platform.mNetwork::reconnect);
        writeRandomPlan(platform, random, rate + 1);
        platform.advanceTime(Duration.ofSeconds(11));
        for (TestHost host : hosts) {
            assertThat(host.plans()).isEqualTo(hosts.get(0).plans());
            assertThat(host.plans().values()).extracting(Plan::tokensPerSecond).contains(rate + 1);
        }
    }

    /** Rates only increase, so a smaller rate than before belongs to an older version. */
    private static void assertRatesDoNotDecrease(
            String name, TestHost host, Map<String, Long> highestRates) {
        host.watcher()
                .current()
                .ifPresent(
                        configuration ->
                                configuration
                                        .plans()
                                        .forEach(
                                                (plan, value) -> {
                                                    String key = name + "/" + plan;
                                                    long rate = value.tokensPerSecond();
                                                    assertThat(rate)
                                                            .as(key)
                                                            .isGreaterThanOrEqualTo(
                                                                    highestRates.getOrDefault(
                                                                            key, 0L));
                                                    highestRates.put(key, rate);
                                                }));
    }

    private static void injectRandomFault(TestPlatform platform, Random random, long rate) {
        String host = HOSTS.get(random.nextInt(HOSTS.size()));
        switch (random.nextInt(9)) {
            case 0 -> platform.mFaults.setOutage(random.nextBoolean());
            case 1 -> platform.mFaults.setSilentWatches(random.nextBoolean());
            case 2 -> platform.mFaults.setRefusedFailureDomains(Set.of(host));
            case 3 -> platform.mStorage.breakWatches();
            case 4 -> platform.mStorage.forgetHistory();
            case 5 -> platform.mFaults.setLostWriteAnswers(1);
            case 6 -> platform.mNetwork.disconnect(host);
            case 7 -> platform.mNetwork.reconnect(host);
            default -> platform.mFaults.setRefusedFailureDomains(Set.of());
        }
        writeRandomPlan(platform, random, rate);
    }

    private static void writeRandomPlan(TestPlatform platform, Random random, long rate) {
        String name = "p" + random.nextInt(3);
        long version =
                platform.mStorage
                        .read("configuration", "plan." + name)
                        .map(object -> object.version())
                        .getOrElse(0L);
        platform.write(version, TestPlatform.plan(name, rate));
    }
}
