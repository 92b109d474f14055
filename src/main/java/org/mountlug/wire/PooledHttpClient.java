package org.mountlug.wire;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.http.HttpClientProvider;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Requests to one address over kept connections, on the I/O thread only. Every call has a time limit after which its
 * connection is closed, since a party behind a cut stays silent without an error; the number of connections and of
 * waiting calls is bounded.
 */
public final class PooledHttpClient implements HttpTransport {
    /** What came back; {@code status} 0 means no answer, so the request may have been carried out, now or later. */
    public record Response(int status, Map<String, Object> body, boolean requestSent) {
        /** Whether there was no answer at all. */
        public boolean isMissing() {
            return status == 0;
        }
    }

    private static final Response NOTHING = new Response(0, Map.of(), true);
    private static final Response UNSENT = new Response(0, Map.of(), false);

    private final HttpClientProvider client = new HttpClientProvider();
    private final XnioIoThread thread;
    private final ByteBufferPool pool;
    private final URI uri;
    private final String host;
    private final int most;
    private final boolean keep;
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private int open;

    /** A client of one address with at most so many connections, which are kept open between calls. */
    public PooledHttpClient(XnioIoThread thread, ByteBufferPool pool, String address, int most) {
        this(thread, pool, address, most, true);
    }

    /** @param keep whether connections are kept for later calls; to hundreds of workers they would be too many */
    public PooledHttpClient(XnioIoThread thread, ByteBufferPool pool, String address, int most, boolean keep) {
        this.keep = keep;
        this.thread = thread;
        this.pool = pool;
        this.uri = URI.create("http://" + address);
        this.host = address;
        this.most = most;
    }

    /** Must be called on the I/O thread, on which {@code then} runs as well. */
    @Override
    public void call(HttpString method, String path, Map<String, Object> body, int timeoutMs, Consumer<Response> then) {
        Call c = new Call(method, path, body == null ? null : Cbor.write(body), timeoutMs, then);
        c.timer = thread.executeAfter(c::timeout, timeoutMs, TimeUnit.MILLISECONDS);
        start(c);
    }

    private void start(Call c) {
        ClientConnection k;
        while ((k = idle.pollLast()) != null) {
            if (k.isOpen()) {
                c.send(k);
                return;
            }
            open--;
        }
        if (open >= most) {
            if (waiting.size() < 4 * most) {
                waiting.add(c);
            } else {
                c.finish(UNSENT);
            }
            return;
        }
        open++;
        c.connecting = true;
        client.connect(
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection k) {
                        if (c.over) {
                            release(k, true);
                        } else {
                            c.connecting = false;
                            c.send(k);
                        }
                    }

                    @Override
                    public void failed(IOException e) {
                        open--;
                        c.finish(UNSENT);
                        next();
                    }
                },
                uri,
                thread,
                null,
                pool,
                OptionMap.EMPTY);
    }

    private void release(ClientConnection k, boolean usable) {
        if (usable && keep && k.isOpen()) {
            idle.addLast(k);
        } else {
            IoUtils.safeClose(k);
            open--;
        }
        next();
    }

    private void next() {
        while (!waiting.isEmpty() && (open < most || !idle.isEmpty())) {
            Call c = waiting.poll();
            if (!c.over) {
                start(c);
                return;
            }
        }
    }

    private final class Call {
        final HttpString method;
        final String path;
        final byte[] body;
        final Consumer<Response> then;
        /** When it is given up; the timer may fire late. */
        final long dueNs;

        XnioExecutor.Key timer;
        ClientConnection connection;
        boolean connecting;
        boolean over;
        ByteArrayOutputStream in;

        Call(HttpString method, String path, byte[] body, int timeoutMs, Consumer<Response> then) {
            this.dueNs = System.nanoTime() + timeoutMs * 1_000_000L;
            this.method = method;
            this.path = path;
            this.body = body;
            this.then = then;
        }

        void timeout() {
            if (over) {
                return;
            }
            ClientConnection k = connection;
            connection = null;
            boolean sent = k != null;
            if (k != null) {
                release(k, false);
            }
            finish(sent ? NOTHING : UNSENT);
        }

        void finish(Response a) {
            if (over) {
                return;
            }
            over = true;
            if (timer != null) {
                timer.remove();
            }
            then.accept(a);
        }

        void lost() {
            ClientConnection k = connection;
            connection = null;
            if (k != null) {
                release(k, false);
            }
            finish(NOTHING);
        }

        void send(ClientConnection k) {
            connection = k;
            ClientRequest r = new ClientRequest().setMethod(method).setPath(path);
            r.getRequestHeaders().put(Headers.HOST, host);
            if (body != null) {
                r.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(body.length));
                r.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
            }
            k.sendRequest(r, new ClientCallback<>() {
                @Override
                public void completed(ClientExchange x) {
                    x.setResponseListener(new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange y) {
                            read(y);
                        }

                        @Override
                        public void failed(IOException e) {
                            lost();
                        }
                    });
                    if (body != null) {
                        write(x.getRequestChannel());
                    }
                }

                @Override
                public void failed(IOException e) {
                    lost();
                }
            });
        }

        void write(StreamSinkChannel ch) {
            ByteBuffer b = ByteBuffer.wrap(body);
            ch.getWriteSetter().set(c -> push(c, b));
            push(ch, b);
        }

        void push(StreamSinkChannel ch, ByteBuffer b) {
            try {
                while (b.hasRemaining()) {
                    if (ch.write(b) == 0) {
                        ch.resumeWrites();
                        return;
                    }
                }
                ch.shutdownWrites();
                if (!ch.flush()) {
                    ch.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, (c, e) -> lost()));
                    ch.resumeWrites();
                } else {
                    ch.suspendWrites();
                }
            } catch (IOException e) {
                lost();
            }
        }

        void read(ClientExchange x) {
            in = new ByteArrayOutputStream(512);
            StreamSourceChannel ch = x.getResponseChannel();
            ch.getReadSetter().set(c -> pull(x, c));
            pull(x, ch);
        }

        void pull(ClientExchange x, StreamSourceChannel ch) {
            if (connection == null) {
                return;
            }
            try (PooledByteBuffer p = pool.allocate()) {
                ByteBuffer b = p.getBuffer();
                while (true) {
                    b.clear();
                    int n = ch.read(b);
                    if (n == 0) {
                        ch.resumeReads();
                        return;
                    }
                    if (n < 0) {
                        break;
                    }
                    b.flip();
                    byte[] a = new byte[b.remaining()];
                    b.get(a);
                    in.write(a, 0, a.length);
                }
            } catch (IOException e) {
                lost();
                return;
            }
            if (System.nanoTime() - dueNs > 0) {
                lost(); // it waited in the socket while this process stood still: as old as if it had been given up
                return;
            }
            int status = x.getResponse().getResponseCode();
            Map<String, Object> m = Map.of();
            byte[] raw = in.toByteArray();
            if (raw.length > 0) {
                try {
                    m = Fields.asMap(Cbor.read(raw));
                } catch (IOException e) {
                    if (status == 200) {
                        status = 0; // an answer that cannot be read says nothing of what was done
                    }
                }
            }
            ClientConnection k = connection;
            connection = null;
            boolean keep = k.isOpen()
                    && !"close"
                            .equalsIgnoreCase(
                                    x.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
            // The connection is free only after Undertow has finished the exchange, later in this turn of the thread.
            thread.execute(() -> release(k, keep));
            finish(new Response(status, m, true));
        }
    }
}
