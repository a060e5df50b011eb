package org.vanillaslip.internal.commandline;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillaslip.internal.platform.PlatformCollections;

/**
 * Guards against keys stored in plain text, drains of unknown items and exit codes that hide a
 * failure.
 */
class CommandLineTest {
    private final OperatorFixture mOperator = new OperatorFixture();

    @BeforeEach
    void applyExample() {
        assertThat(mOperator.run("items", "apply", OperatorFixture.EXAMPLE_FILE)).isZero();
    }

    @Test
    void printsANewKeyOnceAndStoresOnlyItsDigest() {
        assertThat(mOperator.run("keys", "add", "taller-rios")).isZero();

        assertThat(mOperator.mOutput).contains("key " + OperatorFixture.KEY);
        String spec = mOperator.stored("workspace.taller-rios").spec().toString();
        assertThat(spec)
                .contains(Keys.digest(OperatorFixture.KEY))
                .doesNotContain(OperatorFixture.KEY);
    }

    @Test
    void withdrawsAKeyGivenAsTheKeyOrAsItsDigest() {
        mOperator.run("keys", "add", "taller-rios");
        assertThat(mOperator.run("keys", "withdraw", "taller-rios", OperatorFixture.KEY)).isZero();
        String digest = Keys.digest("example-key-taller-rios");
        assertThat(mOperator.run("keys", "withdraw", "taller-rios", digest)).isZero();

        assertThat(mOperator.run("keys", "list", "--output", "json")).isZero();
        assertThat(mOperator.json().get("keys").findValuesAsText("workspace"))
                .containsExactly("maderas-sol");
    }

    @Test
    void doesNotRepeatAnUnknownKeyInTheError() {
        assertThat(mOperator.run("keys", "withdraw", "taller-rios", "mistyped")).isEqualTo(2);

        assertThat(mOperator.mErrors).contains("6003").doesNotContain("mistyped");
    }

    @Test
    void drainsAndRestoresItems() {
        assertThat(mOperator.run("drain", "server", "engine-a")).isZero();
        assertThat(isDrained("backendserver.engine-a")).isTrue();
        assertThat(mOperator.run("restore", "server", "engine-a")).isZero();
        assertThat(isDrained("backendserver.engine-a")).isFalse();
        assertThat(mOperator.run("drain", "domain", "b")).isZero();
        assertThat(isDrained("failuredomain.b")).isTrue();
    }

    @Test
    void drainsAHostWithoutAConfigurationItemButNotAnUnknownHost() {
        mOperator.mStorage.create(
                PlatformCollections.HOSTS, "c9", JsonNodeFactory.instance.objectNode());

        assertThat(mOperator.run("drain", "host", "c9")).isZero();
        assertThat(isDrained("host.c9")).isTrue();
        assertThat(mOperator.run("drain", "host", "c8")).isEqualTo(2);
        assertThat(mOperator.run("drain", "domain", "c")).isEqualTo(2);
        assertThat(mOperator.run("drain", "shard", "a")).isEqualTo(2);
    }

    @Test
    void reportsSuccessWhenAWriteWithALostAnswerWasApplied() {
        mOperator.mFaults.setLostWriteAnswers(1);

        assertThat(mOperator.run("drain", "domain", "a")).isZero();

        assertThat(isDrained("failuredomain.a")).isTrue();
    }

    @Test
    void reportsAnUnknownOutcomeWhenThePlatformIsUnavailableAfterALostAnswer() {
        mOperator.mFaults.setLostWriteAnswers(1);
        mOperator.mAfterWrite = () -> mOperator.mFaults.setOutage(true);

        assertThat(mOperator.run("keys", "add", "taller-rios")).isEqualTo(5);

        assertThat(mOperator.mErrors)
                .contains("workspace.taller-rios", Keys.digest(OperatorFixture.KEY));
    }

    @Test
    void reportsAnUnavailablePlatform() {
        mOperator.mFaults.setOutage(true);

        assertThat(mOperator.run("plans", "list")).isEqualTo(4);
        assertThat(mOperator.run("plans", "apply", OperatorFixture.EXAMPLE_FILE)).isEqualTo(4);
    }

    @Test
    void showsItemsAndStatus() {
        assertThat(mOperator.run("plans", "show", "counter", "--output", "json")).isZero();
        assertThat(mOperator.json().get("tokens_per_second").asInt()).isEqualTo(200);
        assertThat(mOperator.run("workspaces", "show", "nobody")).isEqualTo(2);
        assertThat(mOperator.run("workspaces", "list")).isZero();
        assertThat(mOperator.mOutput).contains("taller-rios plan=counter keys=1 version=");
        mOperator.run("drain", "host", "b2");
        assertThat(mOperator.run("status")).isZero();
        assertThat(mOperator.mOutput).contains("backend_servers: 4", "drained: host.b2");
        assertThat(mOperator.run("status", "--host", "127.0.0.1:1")).isZero();
        assertThat(mOperator.run("status", "--host", "127.0.0.1:2")).isEqualTo(4);
    }

    @Test
    void printsHelpForTheProgramAGroupAndACommand() {
        assertThat(mOperator.runWithoutPlatform("--help")).isZero();
        assertThat(mOperator.mOutput).contains("plans", "keys", "drain", "validate");
        assertThat(mOperator.runWithoutPlatform("keys", "--help")).isZero();
        assertThat(mOperator.mOutput).contains("withdraw");
        assertThat(mOperator.runWithoutPlatform("plans", "apply", "--help")).isZero();
        assertThat(mOperator.mOutput).contains("--prune", "--platform");
        assertThat(mOperator.runWithoutPlatform("drain", "--help")).isZero();
        assertThat(mOperator.mOutput).contains("KIND");
    }

    @Test
    void rejectsInvalidUsage() {
        assertThat(mOperator.runWithoutPlatform()).isEqualTo(2);
        assertThat(mOperator.runWithoutPlatform("plans", "list")).isEqualTo(2);
        assertThat(mOperator.run("plans", "destroy")).isEqualTo(2);
        assertThat(mOperator.run("plans", "list", "--output", "xml")).isEqualTo(2);
        assertThat(mOperator.run("plans", "apply", "no-such-file.json")).isEqualTo(2);
    }

    private boolean isDrained(String objectName) {
        return mOperator.stored(objectName).spec().at("/item/drained").asBoolean();
    }
}
