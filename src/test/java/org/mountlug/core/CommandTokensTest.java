package org.mountlug.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.mountlug.Fixtures.TOKEN;
import static org.mountlug.Fixtures.attemptStatus;
import static org.mountlug.Fixtures.report;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.Fixtures;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.ExitCause;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Resources;

/** The tokens that messages to workers carry during a term, and which of them let a worker forget an attempt. */
class CommandTokensTest {
    private static final String MACHINE = "n-1";
    private static final long LATER_REVISION = TOKEN + 5;

    private final Cluster cluster = Fixtures.cluster();
    private final Machine machine = Fixtures.addMachine(cluster, MACHINE, "small", "a");
    private final Job job =
            Fixtures.addJob(cluster, Fixtures.spec("wk-000001", false, 4, new Resources(1, 0, 1), Priority.STANDARD));
    private final List<Report.AttemptStatus> attempts = new ArrayList<>();
    private long sequence = 1;

    private List<Command> sendReport(long token) {
        return cluster.handleReport(
                report(
                        MACHINE,
                        "small",
                        "a",
                        machine.session,
                        ++sequence,
                        token,
                        attempts.toArray(Report.AttemptStatus[]::new)),
                true,
                sequence);
    }

    /** Starts an attempt by a direct command that is answered, lets it fail, and makes the outcome durable. */
    private void runDirectlyAndFail(int task) {
        cluster.place(job, task, ++job.lastAttempt, machine, sequence);
        Fixtures.markPersisted(job);
        List<Command> commands = cluster.takeDirectCommands(machine, true, true, sequence);
        assertEquals(List.of("START wk-000001/" + task + "#" + job.lastAttempt), Fixtures.describe(commands));
        cluster.endDirectCommands(machine);
        attempts.add(attemptStatus("wk-000001", task, job.lastAttempt, AttemptState.EXITED, ExitCause.ERROR));
        cluster.recordCommandResponse(
                machine,
                report(MACHINE, "small", "a", 1, ++sequence, TOKEN, attempts.toArray(Report.AttemptStatus[]::new)),
                commands,
                sequence);
        Fixtures.markPersisted(job);
    }

    @ParameterizedTest(name = "token {0} above the term token, proven {1} above it: {2}")
    @CsvSource({
        "-1, 0, EARLIER_TERM",
        "-1, 5, EARLIER_TERM",
        "0, 0, THIS_TERM",
        "0, 5, THIS_TERM",
        "3, 5, THIS_TERM",
        "5, 5, THIS_TERM",
        "6, 5, LATER_TERM",
        "1, 0, LATER_TERM"
    })
    void reportIsOfTheTermIfItsTokenIsFromTheTermTokenToTheProvenRevision(int above, int proven, String term) {
        cluster.recordProvenRevision(TOKEN + proven);
        List<Command> commands = sendReport(TOKEN + above);
        assertEquals(term.equals("LATER_TERM"), commands == null);
        assertEquals(term.equals("LATER_TERM"), cluster.isOfLaterTerm(TOKEN + above));
        if (commands != null) {
            assertEquals(term.equals("THIS_TERM"), machine.tokenConfirmed);
        }
    }

    @Test
    void attemptStartedDirectlyIsForgottenOnlyUnderAHigherToken() {
        Machine other = Fixtures.addMachine(cluster, "n-2", "small", "a");
        runDirectlyAndFail(0);
        assertEquals(List.of(), sendReport(TOKEN), "a copy of the start could run the attempt again");
        assertEquals(1, cluster.commandStatus().withheldForgets());
        cluster.recordProvenRevision(LATER_REVISION);
        assertEquals(List.of("FORGET wk-000001/0#1"), Fixtures.describe(sendReport(TOKEN)));
        assertEquals(LATER_REVISION, cluster.commandToken(MACHINE));
        assertEquals(TOKEN, cluster.commandToken(other.name), "messages to other machines keep their token");
        assertEquals(0, cluster.commandStatus().withheldForgets());
        assertEquals(1, cluster.commandStatus().raisedMachines());
    }

    @Test
    void oneHigherTokenLetsAllEarlierStartsBeForgotten() {
        runDirectlyAndFail(0);
        runDirectlyAndFail(1);
        cluster.recordProvenRevision(LATER_REVISION);
        assertEquals(2, sendReport(TOKEN).size());
        attempts.clear();
        runDirectlyAndFail(2);
        cluster.recordProvenRevision(LATER_REVISION);
        assertEquals(List.of(), sendReport(LATER_REVISION), "this start went out under the higher token");
        cluster.recordProvenRevision(LATER_REVISION + 1);
        assertEquals(List.of("FORGET wk-000001/2#3"), Fixtures.describe(sendReport(LATER_REVISION)));
        assertEquals(LATER_REVISION + 1, cluster.commandToken(MACHINE));
    }

    @Test
    void tokenIsNotRaisedWhileDirectCommandsAreInFlight() {
        runDirectlyAndFail(0);
        cluster.recordProvenRevision(LATER_REVISION);
        cluster.place(job, 1, ++job.lastAttempt, machine, sequence);
        Fixtures.markPersisted(job);
        cluster.takeDirectCommands(machine, true, true, sequence);
        assertEquals(
                List.of("START wk-000001/1#2"),
                Fixtures.describe(sendReport(TOKEN)),
                "with a higher token the worker would refuse the direct start");
        assertEquals(TOKEN, cluster.commandToken(MACHINE));
        cluster.endDirectCommands(machine);
        assertEquals(List.of("FORGET wk-000001/0#1", "START wk-000001/1#2"), Fixtures.describe(sendReport(TOKEN)));
    }

    @Test
    void attemptStartedInAResponseNeedsNoHigherToken() {
        cluster.place(job, 0, ++job.lastAttempt, machine, 0);
        Fixtures.markPersisted(job);
        assertEquals(List.of("START wk-000001/0#1"), Fixtures.describe(sendReport(TOKEN)));
        attempts.add(attemptStatus("wk-000001", 0, 1, AttemptState.EXITED, ExitCause.ERROR));
        sendReport(TOKEN);
        Fixtures.markPersisted(job);
        assertEquals(List.of("FORGET wk-000001/0#1"), Fixtures.describe(sendReport(TOKEN)));
        assertEquals(TOKEN, cluster.commandToken(MACHINE));
    }

    /** A machine that becomes known again must not get messages whose token its worker refuses. */
    @Test
    void messagesCarryNoLowerTokenThanTheWorkerKnows() {
        cluster.recordProvenRevision(LATER_REVISION);
        sendReport(TOKEN + 2);
        assertEquals(TOKEN + 2, cluster.commandToken(MACHINE));
        sendReport(TOKEN);
        assertEquals(TOKEN + 2, cluster.commandToken(MACHINE));
    }
}
