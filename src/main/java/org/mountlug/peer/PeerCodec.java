package org.mountlug.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.mountlug.core.admit.QueueDemand;
import org.mountlug.core.admit.QueueId;

/**
 * Encodes and decodes the binary frames between controllers: a length, then a request (its ID) or a response. Both are small
 * and bounded, so a frame is either written whole or the connection is closed.
 */
public final class PeerCodec {
    /** Maximum size of a frame in bytes; a response whose cancellations do not fit is marked as truncated. */
    public static final int MAX_FRAME_BYTES = 4096;
    /** Maximum length of a job ID in bytes; a response with a longer one is marked as truncated. */
    private static final int MAX_ID_BYTES = 127;
    /** Maximum length of a team's or job class's name in bytes; demand of a queue with a longer name is left out. */
    private static final int MAX_NAME_BYTES = 255;
    /** Size of a queue's demand in bytes without its names: the lengths of both names and three counts. */
    private static final int DEMAND_FIXED_BYTES = 2 + 3 * Integer.BYTES;

    /**
     * A controller's status, sent in response to a peer's request.
     *
     * @param requestId the ID of the request
     * @param incarnation names the life of the controller's process
     * @param stateAvailable whether the state service answers this controller
     * @param token the highest fencing token that the controller knows
     * @param recentReports number of workers' reports that have recently come to the controller
     * @param cancellationsTruncated whether {@code cancellations} is incomplete
     * @param cancellations IDs of the jobs whose cancellation the controller has recently acknowledged to a user
     * @param demand submissions at the controller by queue; only the busiest queues if not all fit into the frame
     */
    public record StatusResponse(
            long requestId,
            long incarnation,
            boolean stateAvailable,
            long token,
            int recentReports,
            boolean cancellationsTruncated,
            List<String> cancellations,
            List<QueueDemand> demand) {
        /** Creates a response without demand. */
        public StatusResponse(
                long requestId,
                long incarnation,
                boolean stateAvailable,
                long token,
                int recentReports,
                boolean cancellationsTruncated,
                List<String> cancellations) {
            this(
                    requestId,
                    incarnation,
                    stateAvailable,
                    token,
                    recentReports,
                    cancellationsTruncated,
                    cancellations,
                    List.of());
        }
    }

    private PeerCodec() {}

    /** Returns a frame that requests a peer's status. */
    public static ByteBuffer writeRequest(long requestId) {
        ByteBuffer frame = ByteBuffer.allocate(12);
        frame.putInt(8).putLong(requestId).flip();
        return frame;
    }

    /** Returns a frame that holds a response. */
    public static ByteBuffer writeResponse(StatusResponse response) {
        ByteBuffer frame = ByteBuffer.allocate(MAX_FRAME_BYTES);
        frame.putInt(0)
                .putLong(response.requestId())
                .putLong(response.incarnation())
                .put((byte) (response.stateAvailable() ? 1 : 0))
                .putLong(response.token())
                .putInt(response.recentReports());
        int truncatedFlagPosition = frame.position();
        frame.put((byte) 0).putShort((short) 0);
        int writtenIds = 0;
        for (String jobId : response.cancellations()) {
            byte[] id = jobId.getBytes(StandardCharsets.US_ASCII);
            if (id.length > MAX_ID_BYTES || frame.remaining() < id.length + 1) {
                continue;
            }
            frame.put((byte) id.length).put(id);
            writtenIds++;
        }
        frame.put(truncatedFlagPosition, (byte)
                        (response.cancellationsTruncated()
                                        || writtenIds < response.cancellations().size()
                                ? 1
                                : 0))
                .putShort(truncatedFlagPosition + 1, (short) writtenIds);
        writeDemand(frame, response.demand());
        frame.putInt(0, frame.position() - 4);
        return frame.flip();
    }

    /** Appends as much demand as fits. It comes last, because older versions read no further than the list of job IDs. */
    private static void writeDemand(ByteBuffer frame, List<QueueDemand> demand) {
        for (QueueDemand queueDemand : demand) {
            byte[] team = queueDemand.queue().team().getBytes(StandardCharsets.UTF_8);
            byte[] jobClass = queueDemand.queue().jobClass().getBytes(StandardCharsets.UTF_8);
            int bytes = DEMAND_FIXED_BYTES + team.length + jobClass.length;
            if (team.length > MAX_NAME_BYTES || jobClass.length > MAX_NAME_BYTES || frame.remaining() < bytes) {
                continue;
            }
            frame.put((byte) team.length).put(team).put((byte) jobClass.length).put(jobClass);
            frame.putInt(queueDemand.submissions())
                    .putInt(queueDemand.arrivals())
                    .putInt(queueDemand.throttled());
        }
    }

    private static List<QueueDemand> readDemand(ByteBuffer frame) {
        List<QueueDemand> demand = new ArrayList<>();
        while (frame.remaining() >= DEMAND_FIXED_BYTES) {
            QueueId queue = new QueueId(readName(frame), readName(frame));
            demand.add(new QueueDemand(queue, frame.getInt(), frame.getInt(), frame.getInt()));
        }
        return demand;
    }

    private static String readName(ByteBuffer frame) {
        byte[] name = new byte[frame.get() & 0xff];
        frame.get(name);
        return new String(name, StandardCharsets.UTF_8);
    }

    /**
     * Returns the payload of the next complete frame and moves the buffer's position behind it, or returns null if more bytes
     * are needed.
     *
     * @throws IllegalArgumentException if the length is not that of a valid frame
     */
    public static ByteBuffer nextFrame(ByteBuffer buffer) {
        if (buffer.remaining() < 4) {
            return null;
        }
        int payloadBytes = buffer.getInt(buffer.position());
        if (payloadBytes < 8 || payloadBytes > MAX_FRAME_BYTES - 4) {
            throw new IllegalArgumentException("invalid frame length: " + payloadBytes + " bytes");
        }
        if (buffer.remaining() < 4 + payloadBytes) {
            return null;
        }
        ByteBuffer payload = buffer.slice(buffer.position() + 4, payloadBytes);
        buffer.position(buffer.position() + 4 + payloadBytes);
        return payload;
    }

    /** Reads the payload of a response. */
    public static StatusResponse readResponse(ByteBuffer payload) {
        long requestId = payload.getLong();
        long incarnation = payload.getLong();
        boolean stateAvailable = payload.get() != 0;
        long token = payload.getLong();
        int recentReports = payload.getInt();
        boolean cancellationsTruncated = payload.get() != 0;
        int idCount = payload.getShort();
        List<String> cancellations = new ArrayList<>(idCount);
        for (int i = 0; i < idCount; i++) {
            byte[] id = new byte[payload.get()];
            payload.get(id);
            cancellations.add(new String(id, StandardCharsets.US_ASCII));
        }
        return new StatusResponse(
                requestId,
                incarnation,
                stateAvailable,
                token,
                recentReports,
                cancellationsTruncated,
                cancellations,
                readDemand(payload));
    }
}
