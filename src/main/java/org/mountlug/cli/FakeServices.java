package org.mountlug.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.mountlug.store.StateKeys;
import org.mountlug.store.VersionCodec;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Fields;

/** The least of a state service, a cloud and a peer that a rehearsal needs, kept in memory on loopback. */
final class FakeServices implements AutoCloseable {
    private record Row(Object value, long stamp) {}

    private final HttpServer state;
    private final HttpServer cloud;
    private final FakePeer peer;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long epoch = 1;

    FakeServices(int statePort, int cloudPort, int peerPort) throws IOException {
        peer = new FakePeer(peerPort);
        state = serve(statePort);
        cloud = serve(cloudPort);
        state.createContext("/kv", this::read);
        state.createContext("/multi", this::multi);
        state.createContext("/holds", x -> reply(x, 200, Map.of("hold", 7)));
        state.createContext("/watch", this::watch);
        cloud.createContext(
                "/flavors",
                x -> reply(
                        x,
                        200,
                        Map.of(
                                "builds",
                                List.of(Map.of(
                                        "name",
                                        "m",
                                        "vcpus",
                                        8.0,
                                        "cards",
                                        0.0,
                                        "ramGb",
                                        32.0,
                                        "bootS",
                                        10.0,
                                        "sites",
                                        List.of("z"))))));
        cloud.createContext("/hosts", x -> reply(x, 200, Map.of("rigs", List.of(), "hasNext", false)));
        state.start();
        cloud.start();
    }

    /** Holds that these controllers read the layout of records that this version writes. */
    synchronized void announceVersions(String... labels) {
        for (String label : labels) {
            rows.put(StateKeys.VERSIONS + label, new Row(VersionCodec.announcement(), ++epoch));
        }
    }

    private HttpServer serve(int port) throws IOException {
        HttpServer s = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 16);
        s.setExecutor(threads);
        return s;
    }

    private static void reply(HttpExchange x, int status, Object body) throws IOException {
        x.getRequestBody().readAllBytes();
        byte[] b = Cbor.write(body);
        x.sendResponseHeaders(status, b.length);
        try (OutputStream o = x.getResponseBody()) {
            o.write(b);
        }
    }

    private synchronized void read(HttpExchange x) throws IOException {
        String path = x.getRequestURI().getPath();
        if (path.equals("/kv")) {
            String prefix = x.getRequestURI().getQuery().replaceAll(".*prefix=([^&]*).*", "$1");
            List<Object> out = new ArrayList<>();
            rows.forEach((k, r) -> {
                if (k.startsWith(prefix)) {
                    out.add(Map.of("k", k, "v", r.value, "stamp", r.stamp));
                }
            });
            reply(x, 200, Map.of("rows", out, "hasNext", false, "epoch", epoch));
            return;
        }
        Row r = rows.get(path.substring(4));
        if (r == null) {
            reply(x, 404, Map.of("epoch", epoch));
        } else {
            reply(x, 200, Map.of("k", path.substring(4), "v", r.value, "stamp", r.stamp));
        }
    }

    private synchronized void multi(HttpExchange x) throws IOException {
        Map<String, Object> m = Cbor.readMap(x.getRequestBody().readAllBytes());
        List<Object> failed = new ArrayList<>();
        for (Object o : Fields.getList(m, "guards")) {
            Map<String, Object> g = Fields.asMap(o);
            Row r = rows.get(Fields.getString(g, "k"));
            if ((r == null ? 0 : r.stamp) != Fields.getLong(g, "stamp", 0)) {
                failed.add(g.get("k"));
            }
        }
        if (!failed.isEmpty()) {
            reply(x, 409, Map.of("failed", failed, "epoch", epoch));
            return;
        }
        epoch++;
        for (Object o : Fields.getList(m, "writes")) {
            Map<String, Object> w = Fields.asMap(o);
            if (w.containsKey("put")) {
                rows.put(Fields.getString(w, "put"), new Row(w.get("v"), epoch));
            } else {
                rows.remove(Fields.getString(w, "delete"));
            }
        }
        reply(x, 200, Map.of("epoch", epoch));
    }

    private void watch(HttpExchange x) throws IOException {
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        List<Object> news = new ArrayList<>();
        long now;
        synchronized (this) {
            now = epoch;
            rows.forEach((k, r) -> {
                if (k.startsWith("j/")) {
                    news.add(Map.of("put", k, "v", r.value, "stamp", r.stamp));
                }
            });
        }
        reply(x, 200, Map.of("epoch", now, "news", news));
    }

    /** Takes a node through its ordinary work: health, a job, a worker that runs it, an abort. */
    void exercise(int port) throws IOException, InterruptedException {
        for (int i = 0; i < 40; i++) {
            if (call(port, "GET", "/up", null) == 200) {
                break;
            }
            Thread.sleep(100);
        }
        Thread.sleep(1200);
        long session = 1;
        for (int n = 0; n < 6; n++) {
            Map<String, Object> job = new LinkedHashMap<>();
            job.put("nameId", "wk-00000" + n);
            job.put("lane", "l");
            job.put("crew", "t");
            job.put("shape", n % 2 == 0 ? "array" : "group");
            job.put("urgency", n % 2 == 0 ? "high" : "standard");
            job.put("pieces", 3);
            for (String k : List.of("vcpus", "ramGb", "expectedS", "imageGb")) {
                job.put(k, 1.0);
            }
            for (String k : List.of("cards", "bookmarkS", "stashS")) {
                job.put(k, 0.0);
            }
            for (String k : List.of("oneZone", "apart", "loaners")) {
                job.put(k, n % 2 == 0);
            }
            job.put("bundle", "i");
            call(port, "POST", "/work", job);
            call(port, "GET", "/work/wk-00000" + n, null);
        }
        long token = 0;
        List<Object> running = new ArrayList<>();
        for (int tick = 1; tick < 24; tick++) {
            Map<String, Object> b = new LinkedHashMap<>();
            b.put("rig", "n-1");
            b.put("address", "127.0.0.1:1");
            b.put("build", "m");
            b.put("site", "z");
            b.put("loaners", false);
            b.put("stint", session);
            b.put("tick", tick);
            b.put("baton", token);
            b.put("pieces", running);
            Map<String, Object> a = body(port, b);
            token = Fields.getLong(a, "baton", token);
            for (Object o : Fields.getList(a, "orders")) {
                Map<String, Object> c = Fields.asMap(o);
                Map<String, Object> t = new LinkedHashMap<>();
                t.put("piece", c.get("piece"));
                t.put("try", c.get("try"));
                t.put("status", "exited");
                t.put("cause", "done");
                running.removeIf(r -> Fields.asMap(r).get("piece").equals(c.get("piece")));
                if ("start".equals(c.get("verb"))) {
                    running.add(t);
                }
            }
            Thread.sleep(150);
        }
        call(port, "POST", "/work/wk-000005/abort", Map.of());
        call(port, "GET", "/work/wk-000000", null);
        call(port, "GET", "/metrics", null);
        Thread.sleep(300);
    }

    private static HttpURLConnection open(int port, String method, String path, Object body) throws IOException {
        HttpURLConnection c = (HttpURLConnection)
                URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
        c.setRequestMethod(method);
        c.setConnectTimeout(2000);
        c.setReadTimeout(5000);
        if (body != null) {
            c.setDoOutput(true);
            c.getOutputStream().write(Cbor.write(body));
        }
        return c;
    }

    private static int call(int port, String method, String path, Object body) throws IOException {
        HttpURLConnection c = open(port, method, path, body);
        int status = c.getResponseCode();
        try (var in = status < 400 ? c.getInputStream() : c.getErrorStream()) {
            if (in != null) {
                in.readAllBytes();
            }
        }
        return status;
    }

    private static Map<String, Object> body(int port, Object body) throws IOException {
        HttpURLConnection c = open(port, "POST", "/agent/beat", body);
        if (c.getResponseCode() != 200) {
            return Map.of();
        }
        try (var in = c.getInputStream()) {
            return Cbor.readMap(in.readAllBytes());
        }
    }

    @Override
    public void close() {
        state.stop(0);
        cloud.stop(0);
        peer.close();
        threads.shutdownNow();
    }
}
