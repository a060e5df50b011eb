package org.vanillaslip.internal.commandline;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.vanillaslip.internal.platform.ConfigurationFinding;
import org.vanillaslip.internal.platform.ConfigurationFinding.Kind;
import org.vanillaslip.internal.platform.DeploymentConfigurationCheck;
import org.vanillaslip.internal.platform.PlatformFailure;
import reactor.core.publisher.Mono;

/**
 * A format whose files begin with "deployment", followed by one word for each line. A word that
 * ends with "!" is a fault, and each word that only one of two files has is a difference.
 */
final class FakeDeploymentCheck implements DeploymentConfigurationCheck {
    Either<PlatformFailure, String> mInForce = Either.left(PlatformFailure.UNAVAILABLE);
    final AtomicInteger mReads = new AtomicInteger();

    @Override
    public boolean recognizes(String text) {
        return text.startsWith("deployment");
    }

    @Override
    public Either<String, List<ConfigurationFinding>> faults(String text) {
        if (text.contains("{")) {
            return Either.left("It is not plain text.");
        }
        return Either.right(
                words(text).stream()
                        .filter(word -> word.endsWith("!"))
                        .map(word -> new ConfigurationFinding(Kind.ERROR, word, "is wrong"))
                        .toList());
    }

    @Override
    public Either<String, List<ConfigurationFinding>> differences(String inForce, String text) {
        List<String> stored = words(inForce);
        return Either.right(
                words(text).stream()
                        .filter(word -> !stored.contains(word))
                        .map(word -> new ConfigurationFinding(Kind.NEW, word, "not in force"))
                        .toList());
    }

    @Override
    public Mono<Either<PlatformFailure, String>> readInForce(String address) {
        mReads.incrementAndGet();
        return Mono.just(mInForce);
    }

    private static List<String> words(String text) {
        return Arrays.asList(text.split("\\s+"));
    }
}
