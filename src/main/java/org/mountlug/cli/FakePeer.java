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

/** Another controller, as far as a rehearsal needs one: it answers each question and knows of no leader. */
final class FakePeer implements AutoCloseable {
    private final ServerSocket server;

    FakePeer(int port) throws IOException {
        server = new ServerSocket(port, 4, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "peer stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try (Socket connection = server.accept()) {
                answer(connection);
            } catch (IOException e) {
                // The controller closed the connection, or the rehearsal is over.
            }
        }
    }

    private static void answer(Socket connection) throws IOException {
        DataInputStream in = new DataInputStream(connection.getInputStream());
        while (true) {
            in.readInt(); // the length of a question, which is always the same
            ByteBuffer frame = PeerCodec.writeResponse(
                    new PeerCodec.StatusResponse(in.readLong(), 1, true, 0, 0, false, List.of("wk-000001")));
            connection.getOutputStream().write(frame.array(), 0, frame.limit());
        }
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
    }
}
