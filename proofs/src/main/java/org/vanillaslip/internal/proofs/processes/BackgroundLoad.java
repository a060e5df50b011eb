package org.vanillaslip.internal.proofs.processes;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends requests in a loop from several callers, only to hosts that report ready, as a load
 * balancer does.
 */
public final class BackgroundLoad {

    private static final int CALLER_COUNT = 4;

    private final Deployment mDeployment;
    private final String mRoute;
    private final Map<String, String> mHeaders;
    private final String mBody;
    private final AtomicInteger mCompletedRequests = new AtomicInteger();
    private final List<String> mInterruptedRequests = new CopyOnWriteArrayList<>();
    private final List<CompletableFuture<Void>> mCallers = new ArrayList<>();
    private final ExecutorService mExecutor = Executors.newFixedThreadPool(CALLER_COUNT);
    private volatile boolean mStopped;

    /** Creates a load that repeats the given streamed request. */
    public BackgroundLoad(
            Deployment deployment, String route, Map<String, String> headers, String body) {
        mDeployment = deployment;
        mRoute = route;
        mHeaders = headers;
        mBody = body;
    }

    /** Starts all callers and returns at once. */
    public void start() {
        for (int i = 0; i < CALLER_COUNT; i++) {
            int firstHostIndex = i;
            mCallers.add(
                    CompletableFuture.runAsync(() -> sendUntilStopped(firstHostIndex), mExecutor));
        }
    }

    /** Returns the number of requests that have received a complete stream. */
    public int completedRequests() {
        return mCompletedRequests.get();
    }

    /** Stops the callers after their current requests and describes each interrupted request. */
    public List<String> stop() {
        mStopped = true;
        mCallers.forEach(CompletableFuture::join);
        mExecutor.shutdown();
        return List.copyOf(mInterruptedRequests);
    }

    private void sendUntilStopped(int firstHostIndex) {
        for (int i = firstHostIndex; !mStopped; i++) {
            List<HostProcess> hosts = mDeployment.hosts();
            HostProcess host = hosts.get(i % hosts.size());
            if (mDeployment.caller().get(host.gatewayAddress(), "/readyz").status() == 200) {
                sendRequest(host);
            }
        }
    }

    /**
     * Sends one request and records it if it was interrupted. Refusals with "not run" and failed
     * connection attempts do not count, since the request never started.
     */
    private void sendRequest(HostProcess host) {
        try {
            CallerResponse response =
                    mDeployment
                            .caller()
                            .postRetryingQuota(host.gatewayAddress(), mRoute, mHeaders, mBody);
            if (response.isCompleteStream()) {
                mCompletedRequests.incrementAndGet();
            } else if (!isNotRun(response)) {
                mInterruptedRequests.add(
                        host.name() + ": " + response.status() + " " + response.body());
            }
        } catch (CompletionException e) {
            if (!(e.getCause() instanceof ConnectException)) {
                mInterruptedRequests.add(host.name() + ": " + e.getCause());
            }
        }
    }

    private static boolean isNotRun(CallerResponse response) {
        if (response.status() < 400) {
            return false;
        }
        JsonNode refusal = DeploymentObserver.parseJson(response.body());
        return refusal.path("not_run").asBoolean();
    }
}
