package org.vanillaslip.internal.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.vanillaslip.internal.platform.DeploymentConfigurationCheck;
import org.vanillaslip.internal.platform.ObjectStore;
import org.vanillaslip.internal.platform.PlatformCollections;
import org.vanillaslip.internal.platform.StoredObject;
import org.vanillaslip.internal.standins.platform.CallCounts;
import org.vanillaslip.internal.standins.platform.InProcessObjectStore;
import org.vanillaslip.internal.standins.platform.ObjectStorage;
import org.vanillaslip.internal.standins.platform.PlatformFaults;
import reactor.core.scheduler.Schedulers;

/** Runs the command line tool against a platform in the same process and keeps its output. */
final class OperatorFixture {
    static final String KEY = "a-new-key";
    static final String EXAMPLE_FILE = "../examples/mostrador.json";

    final ObjectStorage mStorage = new ObjectStorage(1000);
    final PlatformFaults mFaults = new PlatformFaults();
    final FakeQuarantine mQuarantine = new FakeQuarantine("127.0.0.1:1");
    Optional<DeploymentConfigurationCheck> mDeploymentCheck = Optional.empty();
    Runnable mAfterList = () -> {};
    Runnable mAfterWrite = () -> {};
    String mOutput = "";
    String mErrors = "";

    /** Runs the tool with {@code --platform} and keeps its output. */
    int run(String... arguments) {
        List<String> all = new ArrayList<>(Arrays.asList(arguments));
        all.addAll(List.of("--platform", "in-process"));
        return runWithoutPlatform(all.toArray(String[]::new));
    }

    int runWithoutPlatform(String... arguments) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        CommandContext context =
                new CommandContext(
                        address -> connect(),
                        this::status,
                        mQuarantine,
                        () -> KEY,
                        mDeploymentCheck);
        int exitCode =
                new CommandLine(context, new PrintStream(output), new PrintStream(errors))
                        .run(arguments);
        mOutput = output.toString(StandardCharsets.UTF_8);
        mErrors = errors.toString(StandardCharsets.UTF_8);
        return exitCode;
    }

    /** Changes the burst of a stored plan, as another operator could. */
    void changeAsAnotherOperator(String objectName) {
        StoredObject object = stored(objectName);
        ObjectNode spec = object.spec().deepCopy();
        ((ObjectNode) spec.get("item")).put("burstTokens", 77_777);
        mStorage.update(PlatformCollections.CONFIGURATION, objectName, object.version(), spec);
    }

    StoredObject stored(String objectName) {
        return mStorage.read(PlatformCollections.CONFIGURATION, objectName).get();
    }

    JsonNode json() {
        try {
            return new ObjectMapper().readTree(mOutput);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private ObjectStore connect() {
        return new HookedObjectStore(
                new InProcessObjectStore(
                        mStorage, mFaults, new CallCounts(), Schedulers.immediate(), "a"),
                () -> mAfterList.run(),
                () -> mAfterWrite.run());
    }

    private Optional<JsonNode> status(String address) {
        return address.equals("127.0.0.1:1")
                ? Optional.of(JsonNodeFactory.instance.objectNode().put("ready", true))
                : Optional.empty();
    }
}
