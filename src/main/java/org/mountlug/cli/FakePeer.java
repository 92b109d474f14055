package org.mountlug.cli;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import org.mountlug.peer.PeerCodec;
import org.xnio.IoUtils;

/**
 * A fake peer for the CDS training run. It gives the same response to each status request: the state service is available,
 * no leader is known, and the job {@code wk-000001} has been cancelled.
 */
final class FakePeer implements AutoCloseable {
    private final ServerSocket server;

    FakePeer(int port) throws IOException {
        server = new ServerSocket(port, 4, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::acceptConnections, "fake peer");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try (Socket connection = server.accept()) {
                respond(connection);
            } catch (IOException e) {
                // The controller closed the connection, or this peer was closed.
            }
        }
    }

    private static void respond(Socket connection) throws IOException {
        DataInputStream input = new DataInputStream(connection.getInputStream());
        while (true) {
            input.readInt(); // the length of the request, which is always the same
            ByteBuffer response = PeerCodec.writeResponse(
                    new PeerCodec.StatusResponse(input.readLong(), 1, true, 0, 0, false, List.of("wk-000001")));
            connection.getOutputStream().write(response.array(), 0, response.limit());
        }
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
    }
}
