package org.mountlug.wire;

import io.undertow.util.HttpString;
import java.util.Map;
import java.util.function.Consumer;

/** Sends requests to one other service: over sockets in production, to in-memory fakes in tests. */
public interface HttpTransport {
    /**
     * Sends a request. {@code onResponse} runs exactly once: after {@code timeoutMs} at the latest, then with a response that
     * {@linkplain PooledHttpClient.Response#isMissing() is missing}.
     *
     * @param body null for a request without a body
     */
    void call(
            HttpString method,
            String path,
            Map<String, Object> body,
            int timeoutMs,
            Consumer<PooledHttpClient.Response> onResponse);
}
