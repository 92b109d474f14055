package org.mountlug.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;

/**
 * Evaluates the peers' responses, without any I/O. During an outage of the state service a leader must go on renewing
 * workers' leases, or all running tasks would end; but it may do so only while it knows every cancellation that any
 * controller had acknowledged to a user up to a recent time. Each response lists the peer's recent cancellations, so they are
 * known up to the time at which the response was requested. A silent peer confirms nothing for the time since its last
 * answered request, and a restarted one nothing for the time before the first request that it has answered since.
 */
public final class PeerView {
    /**
     * What is known of one peer.
     *
     * @param coveredSinceS monotonic time since which the peer's cancellations are known without a gap
     * @param coveredUntilS monotonic time up to which they are known: that of the last answered request
     * @param respondedS monotonic time of the last response
     * @param token the highest fencing token that the peer knows
     * @param recentReports number of workers' reports that have recently come to the peer
     * @param peakReports the highest such number, which decays with each response
     */
    private record PeerStatus(
            long incarnation,
            double coveredSinceS,
            double coveredUntilS,
            boolean stateAvailable,
            double respondedS,
            long token,
            int recentReports,
            double peakReports) {}

    private record Cancellation(String id, double recordedS) {}

    private record RefusedConnections(double firstS, double lastS, int count) {}

    private final Map<String, RefusedConnections> refusedConnectionsByPeer = new HashMap<>();
    private final List<String> peers;
    private final double retentionS;
    private final Map<String, PeerStatus> statusByPeer = new HashMap<>();
    private final ArrayDeque<Cancellation> cancellations = new ArrayDeque<>();

    /** Creates a view of these peers, each of which lists its cancellations for {@code retentionS} seconds. */
    public PeerView(List<String> peers, double retentionS) {
        this.peers = peers;
        this.retentionS = retentionS;
    }

    /** Records a cancellation that this controller is about to acknowledge to a user. */
    public synchronized void recordCancellation(String id, double nowS) {
        while (!cancellations.isEmpty() && nowS - cancellations.peekFirst().recordedS() > retentionS) {
            cancellations.pollFirst();
        }
        // A repeated cancellation needs no second entry: a peer that reads the list without a gap has seen the first.
        for (Cancellation cancellation : cancellations) {
            if (cancellation.id().equals(id)) {
                return;
            }
        }
        cancellations.addLast(new Cancellation(id, nowS));
    }

    /** Returns the IDs of the cancelled jobs that this controller has to list in its responses now. */
    public synchronized List<String> recentCancellations(double nowS) {
        List<String> ids = new ArrayList<>();
        for (Cancellation cancellation : cancellations) {
            if (nowS - cancellation.recordedS() <= retentionS) {
                ids.add(cancellation.id());
            }
        }
        return ids;
    }

    /** Records a peer's response to a request that was sent at {@code requestedS}. */
    public synchronized void recordResponse(
            String peer, double requestedS, double nowS, PeerCodec.StatusResponse response) {
        PeerStatus previous = statusByPeer.get(peer);
        // Cancellations are listed for the retention time only. After a gap that is too long, a new incarnation or a
        // truncated list, the covered time starts again with this request.
        boolean continuous = previous != null
                && previous.incarnation() == response.incarnation()
                && !response.cancellationsTruncated()
                && nowS - previous.coveredUntilS() < retentionS / 2;
        double decayedPeak = previous == null ? 0 : previous.peakReports() * Constants.REPORT_PEAK_DECAY;
        statusByPeer.put(
                peer,
                new PeerStatus(
                        response.incarnation(),
                        continuous ? previous.coveredSinceS() : requestedS,
                        requestedS,
                        response.stateAvailable(),
                        nowS,
                        response.token(),
                        response.recentReports(),
                        Math.max(decayedPeak, response.recentReports())));
    }

    /**
     * Returns the monotonic time up to which all cancellations are known. It is later than {@code knownFromStateS} only if
     * every peer's responses reach back to that time without a gap.
     *
     * @param knownFromStateS monotonic time up to which cancellations are known from the state service
     */
    public synchronized double cancellationsKnownUntilS(double knownFromStateS, double nowS) {
        double knownUntilS = nowS;
        for (String peer : peers) {
            PeerStatus status = statusByPeer.get(peer);
            if (status == null || status.coveredSinceS() > knownFromStateS) {
                return knownFromStateS;
            }
            knownUntilS = Math.min(knownUntilS, status.coveredUntilS());
        }
        return Math.max(knownFromStateS, knownUntilS);
    }

    /** Whether every peer has responded to a request that was sent at or after this monotonic time. */
    public synchronized boolean haveAllRespondedSince(double sinceS) {
        for (String peer : peers) {
            PeerStatus status = statusByPeer.get(peer);
            if (status == null || status.coveredUntilS() < sinceS) {
                return false;
            }
        }
        return true;
    }

    /** Records that a connection to the peer was refused: no process listens there, or a network filter rejects it. */
    public synchronized void recordRefusedConnection(String peer, double nowS) {
        RefusedConnections refused = refusedConnectionsByPeer.get(peer);
        if (refused == null || nowS - refused.lastS() > Constants.PEER_REFUSAL_WINDOW_S) {
            refusedConnectionsByPeer.put(peer, new RefusedConnections(nowS, nowS, 1));
        } else {
            refusedConnectionsByPeer.put(peer, new RefusedConnections(refused.firstS(), nowS, refused.count() + 1));
        }
    }

    /**
     * Whether the peer's process has probably ended: it refuses connections repeatedly, while more than half of the other
     * peers have responded since the first refusal. If the others do not respond, a network filter is more likely.
     */
    public synchronized boolean hasProcessEnded(String peer, double nowS) {
        RefusedConnections refused = refusedConnectionsByPeer.get(peer);
        if (refused == null
                || refused.count() < Constants.PEER_ENDED_REFUSALS
                || nowS - refused.lastS() > Constants.PEER_REFUSAL_WINDOW_S) {
            return false;
        }
        PeerStatus status = statusByPeer.get(peer);
        if (status != null && status.respondedS() >= refused.firstS()) {
            return false;
        }
        int respondedPeers = 0;
        for (String otherPeer : peers) {
            PeerStatus otherStatus = statusByPeer.get(otherPeer);
            if (!otherPeer.equals(peer) && otherStatus != null && otherStatus.respondedS() >= refused.firstS()) {
                respondedPeers++;
            }
        }
        return respondedPeers > 0 && respondedPeers * 2 > peers.size() - 1;
    }

    /** Whether this peer has responded recently. */
    public synchronized boolean hasRespondedRecently(String peer, double nowS) {
        PeerStatus status = statusByPeer.get(peer);
        return status != null && nowS - status.respondedS() < Constants.PEER_RESPONSE_VALID_S;
    }

    /** Whether every peer has responded recently. */
    public synchronized boolean haveAllRespondedRecently(double nowS) {
        for (String peer : peers) {
            if (!hasRespondedRecently(peer, nowS)) {
                return false;
            }
        }
        return true;
    }

    /** Whether a peer has recently responded that the state service is available to it. */
    public synchronized boolean isStateAvailableToAnyPeer(double nowS) {
        for (PeerStatus status : statusByPeer.values()) {
            if (status.stateAvailable() && nowS - status.respondedS() < Constants.PEER_RESPONSE_VALID_S) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of workers' reports that have recently come to the peers. */
    public synchronized int recentPeerReportCount(double nowS) {
        int count = 0;
        for (PeerStatus status : statusByPeer.values()) {
            if (nowS - status.respondedS() < Constants.PEER_RESPONSE_VALID_S) {
                count += status.recentReports();
            }
        }
        return count;
    }

    /** Whether this peer responds that hardly any reports come to it now, while many did some seconds before. */
    public synchronized boolean haveReportsCeased(String peer, double nowS) {
        PeerStatus status = statusByPeer.get(peer);
        return hasRespondedRecently(peer, nowS)
                && status.peakReports() >= Constants.ISOLATION_MIN_REPORTS
                && status.recentReports() <= status.peakReports() * Constants.ISOLATION_OWN_REPORT_SHARE;
    }

    /** Returns the highest fencing token that a peer knows; 0 if no peer has responded. */
    public synchronized long highestKnownToken() {
        long token = 0;
        for (PeerStatus status : statusByPeer.values()) {
            token = Math.max(token, status.token());
        }
        return token;
    }
}
