package org.mountlug.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Reservation;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.scale.ListedMachine;

/**
 * The leader's view of the live jobs, the machines and the placements on them. A placement is removed only once it is
 * proven that the attempt has ended; see {@link #recordLostAttempt}. The class does no I/O: its inputs are reports, records
 * and times, its outputs are commands.
 */
public final class Cluster {
    private final CommandTokens tokens;
    private final double leaseS;
    private final Map<String, Team> teams = new LinkedHashMap<>();
    /** Live jobs by id. */
    public final Object2ObjectLinkedOpenHashMap<String, Job> jobs = new Object2ObjectLinkedOpenHashMap<>();
    /** Machines by name. */
    public final Object2ObjectOpenHashMap<String, Machine> machines = new Object2ObjectOpenHashMap<>();
    /** Reservations of waiting gangs by job id. */
    public final Map<String, List<Reservation>> reservations = new LinkedHashMap<>();
    /** Machine types by name. */
    private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
    /**
     * By name of a machine that is proven gone: monotonic time in seconds at which this was recorded. The cloud's machine
     * list lags and may still show such a machine for a while.
     */
    private final Map<String, Double> departedAtS = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            // All machines may go at once, and the machine list may still show any of them for a while.
            return size() > Math.max(Constants.MIN_REMEMBERED_DEPARTED_MACHINES, 2 * machines.size());
        }
    };
    /** By id of a finished job: revision of its final record, so that a delayed watch does not load the job again. */
    private final Map<String, Long> finishedRevisions = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > Math.max(Constants.MIN_REMEMBERED_FINISHED_JOBS, 2 * jobs.size());
        }
    };

    private final ReportHandler reportHandler;
    private final CommandHandler commandHandler;
    private final MachineListHandler machineListHandler = new MachineListHandler(this);
    private final RunTimeStatistics runTimes = new RunTimeStatistics();
    private final FailureAttribution failureAttribution =
            new FailureAttribution(name -> machines.get(name), this::addEvent);
    /** Number of quarantined machines as of the last call of {@link #expireLeases}. */
    private int quarantinedCount;

    private final AcceleratorHostDemand acceleratorDemand = new AcceleratorHostDemand();
    private final RecordCapacity recordCapacity = new RecordCapacity();
    /** By name of a machine that is not known yet: images that an earlier leader saw on it. */
    private final Map<String, List<String>> expectedImages = new HashMap<>();

    private EventSummary events = new EventSummary();
    private final StartCounts startCounts = new StartCounts();
    private long lostAttempts;
    private long failedAttempts;
    /** Ids of CPU-only jobs that CPU machines cannot serve in time, and that may use whole accelerator machines. */
    public final Set<String> overflowJobs = new HashSet<>();

    /** Whether capacity that some work waits for has become free since {@link #takeCapacityFreed} was last called. */
    private boolean capacityFreed;
    /** Whether a service waited for capacity in the last round. */
    public boolean serviceWaiting;

    /** Whether capacity that some work waits for has become free since the last call. */
    public boolean takeCapacityFreed() {
        boolean freed = capacityFreed;
        capacityFreed = false;
        return freed;
    }

    /**
     * Creates an empty view of a term.
     *
     * @param termToken revision of the leader key
     * @param leaseS length of the worker lease in seconds
     */
    public Cluster(long termToken, double leaseS, Collection<Team> teams) {
        this.tokens = new CommandTokens(termToken);
        this.leaseS = leaseS;
        this.reportHandler = new ReportHandler(this, tokens, leaseS);
        this.commandHandler = new CommandHandler(this, tokens, reportHandler);
        for (Team team : teams) {
            this.teams.put(team.name(), team);
        }
    }

    /**
     * Monotonic time in seconds since which this process can receive reports; silence before it does not show that a
     * machine sent none.
     */
    private double listeningSinceS = Double.NEGATIVE_INFINITY;

    /** Counts silence from now on, as no report could arrive before: the term begins or a process pause has ended. */
    public void restartListening(double nowS) {
        listeningSinceS = nowS;
    }

    /** Whether the machine has reported since this process can receive reports. */
    public boolean hasReportedSinceListening(Machine machine) {
        return machine.lastReportS >= listeningSinceS;
    }

    /** Returns how many starts have succeeded and were lost in each zone since this term began. */
    public StartCounts startCounts() {
        return startCounts;
    }

    /** Returns the seconds since the machine's last report, or since this process can receive reports if that is less. */
    public double silentS(Machine machine, double nowS) {
        return nowS - Math.max(machine.lastReportS, listeningSinceS);
    }

    /**
     * Returns the seconds for which the machine has been out of contact, counted at most since this process can receive
     * reports; {@code NaN} while the machine is in contact.
     */
    public double outOfContactS(Machine machine, double nowS) {
        return nowS - Math.max(machine.outOfContactSinceS, listeningSinceS);
    }

    /** Returns the seconds for which this process has been able to receive reports. */
    public double listeningForS(double nowS) {
        return nowS - listeningSinceS;
    }

    /** Sets the maximum size of a job record in KiB, which applies while no record parts may be written. */
    public void setValueLimitKib(double limitKib) {
        recordCapacity.setValueLimitKib(limitKib);
    }

    /** Allows record parts, so that the size of a record no longer limits how many tasks of a job may be placed. */
    public void allowRecordParts() {
        recordCapacity.allowParts();
    }

    /** Returns the number of characters of the longest machine name, at least the assumed length of a new name. */
    public int maxMachineNameLength() {
        int maxLength = Constants.ASSUMED_MACHINE_NAME_CHARS;
        for (Machine machine : machines.values()) {
            maxLength = Math.max(maxLength, machine.name.length());
        }
        return maxLength;
    }

    /** Returns how many more tasks of a job may be placed such that its record stays within the size limit. */
    public int remainingRecordTasks(Job job) {
        return recordCapacity.remainingTasks(job);
    }

    /** Returns the fencing token with which this term began: the revision of the leader key. */
    public long termToken() {
        return tokens.termToken();
    }

    /** Returns the fencing token that messages to the machine carry now; the term token for an unknown machine. */
    public long commandToken(String machineName) {
        Machine machine = machines.get(machineName);
        return machine == null ? tokens.termToken() : tokens.currentToken(machine);
    }

    /** Whether a leader after this term has sent the token. */
    public boolean isOfLaterTerm(long token) {
        return tokens.isOfLaterTerm(token);
    }

    /** Records the revision of a successful transaction that was guarded by the leader key of this term. */
    public void recordProvenRevision(long revision) {
        tokens.recordProvenRevision(revision);
    }

    /** Returns the state of the fencing tokens. */
    public CommandStatus commandStatus() {
        int raisedMachines = 0;
        int withheldForgets = 0;
        for (Machine machine : machines.values()) {
            raisedMachines += tokens.currentToken(machine) > tokens.termToken() ? 1 : 0;
            withheldForgets += machine.withheldForgets;
        }
        return new CommandStatus(tokens.termToken(), tokens.provenRevision(), raisedMachines, withheldForgets);
    }

    /** Returns the teams that the settings name. */
    public Collection<Team> teams() {
        return teams.values();
    }

    /** Returns the team of this name, or null. */
    public Team team(String name) {
        return teams.get(name);
    }

    /** Returns the machine types that the cloud offers. */
    public Collection<MachineType> types() {
        return machineTypes.values();
    }

    /** Returns the events since the last call, for the log. */
    public EventSummary takeEvents() {
        EventSummary takenEvents = events;
        events = new EventSummary();
        return takenEvents;
    }

    /** Adds an event for the log, with its subject: a task, a machine or a job. */
    public void addEvent(String kind, String subject) {
        events.add(kind, subject);
    }

    /** Returns the counts of jobs and machines by state. */
    public FleetStatus status(double nowS) {
        int suspected = 0;
        for (Job job : jobs.values()) {
            suspected += job.failureHistory.isSuspected() ? 1 : 0;
        }
        int booting = 0;
        int silent = 0;
        int quarantined = 0;
        for (Machine machine : machines.values()) {
            booting += machine.isBooting() ? 1 : 0;
            silent += !machine.isBooting() && silentS(machine, nowS) > leaseS ? 1 : 0;
            quarantined += machine.quarantined ? 1 : 0;
        }
        return new FleetStatus(
                jobs.size(), suspected, machines.size(), booting, silent, quarantined, lostAttempts, failedAttempts);
    }

    /** Updates the machine types and their current prices, also on the machines. */
    public void setMachineTypes(Collection<MachineType> currentTypes) {
        for (MachineType type : currentTypes) {
            machineTypes.put(type.name(), type);
            for (Machine machine : machines.values()) {
                if (machine.type != null && machine.type.name().equals(type.name())) {
                    machine.type = type;
                }
            }
        }
    }

    /** Returns the machine type of this name, or null. */
    public MachineType type(String name) {
        return machineTypes.get(name);
    }

    /** Returns the resources that each team's attempts hold, orphans included, until they are proven to have ended. */
    public Map<String, Resources> usageByTeam() {
        Map<String, Resources> usage = new HashMap<>();
        for (Job job : jobs.values()) {
            if (!job.placements.isEmpty()) {
                Resources request = job.spec.request();
                int placedTasks = job.placements.size();
                usage.merge(
                        job.spec.team(),
                        new Resources(
                                request.cpus() * placedTasks,
                                request.gpus() * placedTasks,
                                request.ramGb() * placedTasks),
                        Resources::plus);
            }
        }
        for (Machine machine : machines.values()) {
            for (Report.AttemptStatus orphan : machine.orphans.values()) {
                Job job = jobs.get(orphan.jobId());
                if (job != null) {
                    usage.merge(job.spec.team(), job.spec.request(), Resources::plus);
                }
            }
        }
        return usage;
    }

    /**
     * Returns the expected run time of a task in seconds: the user's estimate, corrected by how long tasks of the class have
     * run; infinite for a service.
     */
    public double expectedRunS(Job job) {
        return job.spec.isService() ? Double.POSITIVE_INFINITY : runTimes.expectedRunS(job);
    }

    /** Returns what accelerator tasks of any priority that fill a machine of this type need beside the accelerators. */
    public Resources acceleratorHostDemand(MachineType type) {
        return acceleratorDemand.ofAllPriorities(type);
    }

    /**
     * Returns what accelerator tasks that fill a machine of this type and may preempt other accelerator tasks need beside
     * the accelerators.
     */
    public Resources preemptingAcceleratorHostDemand(MachineType type) {
        return acceleratorDemand.ofPreemptingPriorities(type);
    }

    // ---- records ----------------------------------------------------------------------------------------------

    /** Loads a job as stored in the state service, at the start of a term or after its submission. */
    public void loadJob(Job job, double nowS) {
        Long finishedRevision = finishedRevisions.get(job.spec.id());
        if (finishedRevision != null && job.revision <= finishedRevision) {
            return;
        }
        jobs.put(job.spec.id(), job);
        failureAttribution.recordLoadedJob(job);
        acceleratorDemand.add(job.spec);
        for (Placement placement : job.placements.values()) {
            Machine machine = machines.get(placement.machine);
            if (machine == null) {
                machine = new Machine(placement.machine, nowS);
                machine.zone = placement.zone;
                machines.put(placement.machine, machine);
            }
            machine.placements.put(placement.taskName(), placement);
        }
    }

    /**
     * Applies a user's cancellation that has become durable: drops the placements whose start was never sent and requests a
     * stop of all other ones.
     */
    public void applyCancellation(Job job, double nowS) {
        if (!job.cancelled) {
            addEvent("cancelled", job.spec.id());
        }
        job.cancelled = true;
        reservations.remove(job.spec.id());
        for (Placement placement : new ArrayList<>(job.placements.values())) {
            if (placement.version > 0
                    && placement.startReportSequence < 0
                    && !placement.startUnconfirmed
                    && !placement.reported) {
                removePlacement(placement); // placed in this term, and no start was sent
            } else {
                placement.requestStop(0);
            }
        }
        if (job.isFinished()) {
            job.markChanged(nowS, true);
        }
    }

    /**
     * Drops the placements of a job that cannot be made durable and whose start was never sent, which frees their capacity.
     *
     * @param untilS monotonic time in seconds until which no task of the job is placed
     */
    public void dropUnpersistedPlacements(Job job, double untilS) {
        for (Placement placement : new ArrayList<>(job.placements.values())) {
            if (placement.startReportSequence >= 0
                    || placement.startUnconfirmed
                    || placement.reported
                    || job.isDurable(placement.task, placement.version)) {
                continue;
            }
            removePlacement(placement);
        }
        job.pausedUntilS = untilS; // otherwise other tasks of the job would take the capacity at once
    }

    /** Whether another machine has free capacity for this replica now. */
    public boolean hasCapacityElsewhere(Placement placement) {
        JobSpec spec = placement.job.spec;
        for (Machine machine : machines.values()) {
            if (!machine.isSchedulable()
                    || machine.zoneRestricted
                    || machine.heldForGang != null
                    || machine.name.equals(placement.machine)
                    || !machine.orphans.isEmpty()) {
                continue;
            }
            if (!spec.allows(machine.type.name(), machine.zone, machine.spot)
                    || !spec.request().fitsIn(machine.type.capacity().minus(machine.allocated()))) {
                continue;
            }
            // In its own zone the replica only changes its machine, so that the zone rules stay satisfied.
            if (machine.zone.equals(placement.zone)
                    || !spec.oneZone() && placement.job.zoneRulesAllow(machine.zone, 1)) {
                return true;
            }
        }
        return false;
    }

    /** Removes a job whose record was replaced by a final record at this revision. */
    public void removeFinishedJob(Job job, long revision) {
        finishedRevisions.put(job.spec.id(), revision);
        runTimes.removeJob(job.spec.id());
        failureAttribution.recordFinishedJob(job);
        jobs.remove(job.spec.id());
        reservations.remove(job.spec.id());
    }

    /** Places a task; its start is sent only once the record that holds the placement is durable. */
    public Placement place(Job job, int task, long attempt, Machine machine, double nowS) {
        job.markChanged(task, nowS, true);
        Placement placement =
                new Placement(job, task, attempt, machine.name, machine.zone, machine.session, job.version, nowS);
        job.placements.put(task, placement);
        job.everPlaced = true;
        machine.placements.put(placement.taskName(), placement);
        return placement;
    }

    /** Removes a placement whose attempt is proven not to run anywhere. */
    void removePlacement(Placement placement) {
        placement.job.placements.remove(placement.task);
        Machine machine = machines.get(placement.machine);
        if (machine != null) {
            machine.placements.remove(placement.taskName());
        }
    }

    /**
     * Records an attempt that is proven to have ended without a result.
     *
     * @param retryS seconds before which the task is not retried, 0 for none
     */
    void recordLostAttempt(Placement placement, double nowS, double retryS, String reason) {
        removePlacement(placement);
        Job job = placement.job;
        if (Double.isNaN(placement.runningSinceS) && !placement.stopping) {
            startCounts.addLost(placement.zone);
        }
        // Users notice a lost replica within seconds, so its capacity counts as awaited.
        markCapacityFreed(job.spec.isService() && !job.cancelled);
        if (retryS > 0) {
            job.retryNotBeforeS.put(placement.task, nowS + retryS);
        }
        job.markChanged(placement.task, nowS, job.cancelled);
        lostAttempts++;
        addEvent(
                "lost attempts of job " + job.spec.id() + ", " + reason,
                placement.taskName() + " attempt " + placement.attempt + " on " + placement.machine);
        // The remaining tasks of a gang can neither continue nor complete, and must stop before a new attempt begins.
        if (job.spec.isGang()) {
            for (Placement remaining : job.placements.values()) {
                remaining.requestStop(0);
            }
        }
    }

    // ---- workers ------------------------------------------------------------------------------------------------

    /**
     * Applies a worker's report and returns the commands for the response; null means that the worker has seen the fencing
     * token of a newer leader.
     *
     * @param mayStart whether the response may contain start commands
     */
    public List<Command> handleReport(Report report, boolean mayStart, double nowS) {
        return reportHandler.handleReport(report, mayStart, nowS);
    }

    /**
     * Returns commands to be sent directly instead of in the response to the machine's next report, and marks them as sent:
     * stops, which free capacity that other work waits for, and starts of gangs, services and accelerator tasks.
     *
     * @param mayStart whether start commands may be sent; otherwise only cancelled jobs' tasks are stopped
     * @param nonUrgentStartsAllowed whether starts of all other tasks are sent directly, too
     */
    public List<Command> takeDirectCommands(
            Machine machine, boolean mayStart, boolean nonUrgentStartsAllowed, double nowS) {
        return commandHandler.takeDirectCommands(machine, mayStart, nonUrgentStartsAllowed, nowS);
    }

    /** Records that the last direct commands to the machine were answered or timed out, whatever comes of them. */
    public void endDirectCommands(Machine machine) {
        commandHandler.endDirectCommands(machine);
    }

    /** Whether direct commands to the machine were sent and neither a response nor a timeout has followed. */
    public boolean hasDirectCommandsInFlight(Machine machine) {
        return machine.directCommandsInFlight;
    }

    /** Records that the worker did not execute these commands and never will. */
    public void recordRefusedCommands(Machine machine, long session, List<Command> commands) {
        commandHandler.recordRefusedCommands(machine, session, commands);
    }

    /** Applies the report that a worker returns in response to direct commands, which renews no worker lease. */
    public void recordCommandResponse(Machine machine, Report report, List<Command> commands, double nowS) {
        commandHandler.recordCommandResponse(machine, report, commands, nowS);
    }

    /** Whether reports of the machine must stay without a response, so that its worker lease expires. */
    public boolean mustWithholdResponse(String machineName, double nowS) {
        return commandHandler.mustWithholdResponse(machineName, nowS);
    }

    /** Turns standby placements whose capacity is free into ordinary ones, and drops those that have waited too long. */
    public void updateStandbys(double nowS) {
        reportHandler.updateStandbys(nowS);
    }

    /** Whether this machine is proven gone. */
    boolean isMachineGone(String name) {
        return departedAtS.containsKey(name);
    }

    /**
     * Records that capacity has become free.
     *
     * @param awaited whether other work waits for it even if no gang has a reservation and no service waits for capacity
     */
    void markCapacityFreed(boolean awaited) {
        capacityFreed |= awaited || !reservations.isEmpty() || serviceWaiting;
    }

    /** Records that the worker reports a placement as running. */
    void recordStart(Placement placement) {
        startCounts.addSucceeded(placement.zone);
    }

    /** Records a failed attempt, for which its machine or its job may be at fault. */
    void recordFailure(Machine machine, Job job, long attempt) {
        failedAttempts++;
        failureAttribution.recordFailure(machine, job, attempt);
    }

    /** Records a completed task or a stable replica, which shows that neither its job nor its machine is at fault. */
    void recordSuccess(Machine machine, Job job) {
        failureAttribution.recordSuccess(machine, job);
    }

    /** Records the run time of a completed task in the statistics of its machine and its class. */
    void recordCompletion(Machine machine, Placement placement, double nowS) {
        if (runTimes.recordCompletion(machine, placement, machines.size(), quarantinedCount, nowS)) {
            addEvent("quarantined, runs tasks slowly", machine.name);
        }
    }

    // ---- ended attempts without a report of their worker -------------------------------------------------------

    /** Removes a machine that, as the cloud has confirmed, no longer runs, with all attempts on it. */
    public void recordMachineGone(String name, double nowS, String reason) {
        Machine machine = machines.remove(name);
        departedAtS.put(name, nowS);
        if (machine == null) {
            return;
        }
        for (Placement placement : new ArrayList<>(machine.placements.values())) {
            recordLostAttempt(placement, nowS, 0, reason);
        }
        addEvent("gone, " + reason, name);
    }

    /**
     * Ends the attempts on machines whose worker lease is proven to have expired. Only workers that have seen this term's
     * fencing token count: until then an older leader may renew the lease, afterwards only responses of this leader do.
     */
    public void expireLeases(double nowS) {
        quarantinedCount = 0;
        for (Machine machine : machines.values()) {
            if (machine.quarantined) {
                quarantinedCount++;
            }
        }
        double expiresAfterS = leaseS * (1 + Constants.MAX_CLOCK_DRIFT) + Constants.TIMING_MARGIN_S;
        for (Machine machine : machines.values()) {
            if (!machine.tokenConfirmed
                    || Double.isNaN(machine.lastResponseS)
                    || nowS - machine.lastResponseS <= expiresAfterS) {
                continue;
            }
            machine.tokenConfirmed = false;
            machine.unreachable = true;
            if (Double.isNaN(machine.outOfContactSinceS)) {
                machine.outOfContactSinceS = nowS;
            }
            machine.orphans.clear();
            for (Placement placement : new ArrayList<>(machine.placements.values())) {
                recordLostAttempt(placement, nowS, 0, "worker lease expired");
            }
        }
    }

    /**
     * Applies the cloud's machine list: adds unknown machines, and removes failed ones with their attempts.
     *
     * @param describedSinceS earliest monotonic time in seconds that the list may describe
     * @return names of the failed machines, which are to be deleted in the cloud
     */
    public List<String> applyMachineList(List<ListedMachine> machineList, double describedSinceS, double nowS) {
        return machineListHandler.applyMachineList(machineList, describedSinceS, nowS);
    }

    /** Sets the images that an earlier leader saw on a machine; they apply once the machine is known. */
    public void setExpectedImages(String machineName, List<String> images) {
        Machine machine = machines.get(machineName);
        if (machine != null) {
            machine.cachedImages.addAll(images);
        } else {
            expectedImages.put(machineName, images);
        }
    }

    /** Adds a machine that was not known, with the images that an earlier leader saw on it. */
    Machine addMachine(Machine machine) {
        machines.put(machine.name, machine);
        List<String> images = expectedImages.remove(machine.name);
        if (images != null) {
            machine.cachedImages.addAll(images);
        }
        return machine;
    }

    /** Adds a machine that was just rented and has not booted. */
    public void addRentedMachine(String name, String type, String zone, boolean spot, double nowS) {
        if (departedAtS.containsKey(name) || machines.containsKey(name)) {
            return;
        }
        Machine machine = new Machine(name, nowS);
        machine.type = machineTypes.get(type);
        machine.zone = zone;
        machine.spot = spot;
        machine.markRented();
        addMachine(machine);
    }
}
