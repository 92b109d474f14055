package org.mountlug.wire;

import io.undertow.util.HttpString;
import java.util.Map;
import java.util.function.Consumer;

/** Requests to one outside system: over sockets in service, to stand-ins in memory in tests. */
public interface HttpTransport {
    /** Sends a request; {@code then} runs exactly once, with no answer at the latest after {@code timeoutMs}. */
    void call(
            HttpString method,
            String path,
            Map<String, Object> body,
            int timeoutMs,
            Consumer<PooledHttpClient.Response> then);
}
