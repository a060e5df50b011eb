package org.vanillaslip.internal.proofs.processes;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** An HTTP client that acts as a caller or as an operator's health probe. */
public final class HttpCaller {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

    private static final int MAX_RETRIES = 10;

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(5))
                    .build();

    /** Sends a POST and waits for the complete response. */
    public CallerResponse post(
            String address, String path, Map<String, String> headers, String body) {
        return postAsync(address, path, headers, body).join();
    }

    /**
     * Sends a POST and retries it after the delay in Retry-After while the status is 429. The
     * quotas of a newly started deployment are empty, so its first calls are refused.
     */
    public CallerResponse postRetryingQuota(
            String address, String path, Map<String, String> headers, String body) {
        return postRetryingWhile(
                response -> response.status() == 429, address, path, headers, body);
    }

    /**
     * Sends a POST and retries it after the delay in Retry-After while the status is 429, or 503
     * with a Retry-After header, which a host returns for example while a model is unloaded.
     */
    public CallerResponse postRetryingRefusals(
            String address, String path, Map<String, String> headers, String body) {
        return postRetryingWhile(
                response ->
                        response.status() == 429
                                || (response.status() == 503 && response.retryAfter().isPresent()),
                address,
                path,
                headers,
                body);
    }

    private CallerResponse postRetryingWhile(
            Predicate<CallerResponse> shouldRetry,
            String address,
            String path,
            Map<String, String> headers,
            String body) {
        CallerResponse response = post(address, path, headers, body);
        for (int i = 0; i < MAX_RETRIES && shouldRetry.test(response); i++) {
            long seconds = response.retryAfter().map(Long::parseLong).orElse(1L);
            CompletableFuture.runAsync(
                            () -> {}, CompletableFuture.delayedExecutor(seconds, TimeUnit.SECONDS))
                    .join();
            response = post(address, path, headers, body);
        }
        return response;
    }

    /** Sends a POST without waiting for the response. */
    public CompletableFuture<CallerResponse> postAsync(
            String address, String path, Map<String, String> headers, String body) {
        HttpRequest.Builder request =
                requestBuilder(address, path).POST(HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return mClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(HttpCaller::toResponse);
    }

    /** Sends a GET and returns status 0 if the connection failed. */
    public CallerResponse get(String address, String path) {
        try {
            return toResponse(
                    mClient.send(
                            requestBuilder(address, path).GET().build(),
                            HttpResponse.BodyHandlers.ofString()));
        } catch (IOException e) {
            return new CallerResponse(0, String.valueOf(e.getMessage()), Optional.empty());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while calling " + address, e);
        }
    }

    private static HttpRequest.Builder requestBuilder(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(REQUEST_TIMEOUT)
                .header("Content-Type", "application/json");
    }

    private static CallerResponse toResponse(HttpResponse<String> response) {
        return new CallerResponse(
                response.statusCode(),
                response.body(),
                response.headers().firstValue("Retry-After"));
    }
}
