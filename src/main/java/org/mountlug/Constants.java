package org.mountlug;

/**
 * Constants of the service, each with its unit and the reason for its value. Values that depend on the platform (rate
 * limits, worker leases, size limits) are not here; they come from the settings file.
 */
public final class Constants {
    private Constants() {}

    // ---- wire -------------------------------------------------------------------------------------------------
    /** Bytes; the protocol's limit for a request body and for this service's responses. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** Tasks; the protocol's limit for one job. */
    public static final int MAX_TASKS_PER_JOB = 100_000;
    /** Bytes; one buffer holds nearly every message of the protocol, so that a request is read in one call. */
    public static final int IO_BUFFER_BYTES = 8 * 1024;
    /** Characters of a name in a submission; keeps a record far below the state service's value size limit. */
    public static final int MAX_NAME_CHARS = 120;

    // ---- state service ----------------------------------------------------------------------------------------
    /**
     * Milliseconds that a call to the state service may take; responses take 10 ms, occasionally a few hundred, so a
     * call without one after a second is lost.
     */
    public static final int STATE_TIMEOUT_MS = 1500;
    /** Milliseconds that a read for a user may take; users close the connection of a poll after 2 s. */
    public static final int POLL_TIMEOUT_MS = 1200;
    /**
     * Milliseconds that a watch stays open; long enough that reopening it uses hardly any of the request rate limit.
     */
    public static final int WATCH_BLOCK_MS = 10_000;
    /** Milliseconds between two openings of a follower's watch on reservations; nothing depends on its delay. */
    public static final int RESERVATION_WATCH_PAUSE_MS = 2000;
    /** Milliseconds between two openings of a watch; limits how often a leader's own writes end its watch. */
    public static final int WATCH_PAUSE_MS = 250;
    /**
     * Share of the state service's write rate limit that the leader's flushes may use; the rest is for submissions and
     * cancellations.
     */
    public static final double LEADER_WRITE_SHARE = 0.72;
    /** Share of the request rate limit that all users' requests may use; the rest is for the controllers' own. */
    public static final double USER_REQUEST_SHARE = 0.88;

    /**
     * Share of the request rate limit that all controllers together reserve for submissions and cancellations, ahead
     * of polls.
     */
    public static final double SUBMIT_SHARE = 0.6;

    /** Seconds' worth of its submission rate that a controller may use in one burst; users arrive unevenly. */
    public static final double SUBMIT_BURST_S = 3;

    /**
     * Seconds' worth of its request rate that a controller may use in one burst for polls; a surge of polls reaches all
     * controllers at once, and the state service accepts a second's worth.
     */
    public static final double READ_BURST_S = 0.8;
    /**
     * Share of the value size limit that a record may fill; the limit counts JSON characters, and the size of a record
     * is estimated conservatively.
     */
    public static final double VALUE_FILL_SHARE = 0.85;
    /** Connections to the state service, for a leader's writes and reads and a burst of submissions in parallel. */
    public static final int STATE_CONNECTIONS = 8;
    /** Connections for watches: one each for the leader key, the reservations, the live jobs and the admission table. */
    public static final int WATCH_CONNECTIONS = 4;
    /** Milliseconds between two flushes: long enough to batch writes, short enough that users see "done" within 3 s. */
    public static final int FLUSH_INTERVAL_MS = 250;
    /** Milliseconds that a write which no user waits for (progress of a running array) may wait to be batched. */
    public static final int LAZY_FLUSH_DELAY_MS = 2500;
    /** Milliseconds between two writes of the image index, which only helps the next leader. */
    public static final int IMAGE_INDEX_INTERVAL_MS = 5000;
    /** Shards of the image index written at a time; thousands of machines have dozens, and none is urgent. */
    public static final int IMAGE_INDEX_WRITES_PER_INTERVAL = 4;
    /**
     * Milliseconds between two reads of the versions that the other controllers announce, while one of them runs an
     * older version.
     */
    public static final int VERSION_CHECK_INTERVAL_MS = 2000;
    /** Milliseconds between two attempts of a controller to write the record formats that it reads. */
    public static final int VERSION_ANNOUNCE_RETRY_MS = 1000;
    /** Orphaned keys that one transaction deletes. */
    public static final int MAX_ORPHANED_KEYS_PER_TXN = 4;
    /**
     * Seconds without a transaction after one with reservations failed a condition; longer than a watch takes to show a
     * user's cancellation.
     */
    public static final double STALE_RESERVATION_RETRY_S = 0.4;
    /** Seconds without a transaction after the state service permanently rejected one. */
    public static final double REJECTED_TXN_PAUSE_S = 0.5;
    /** Seconds for which a job whose write was permanently rejected is not written, so that the other jobs are. */
    public static final double REJECTED_JOB_WRITE_PAUSE_S = 15;
    /** Seconds before a transaction is sent again that was not executed (rate limit, state service unavailable). */
    public static final double UNAVAILABLE_TXN_RETRY_S = 0.4;

    /** Seconds before a transaction that got no response is sent again, unchanged. */
    public static final double UNANSWERED_TXN_RETRY_S = 0.3;

    /** Milliseconds between two attempts to read the keys of a transaction whose condition failed. */
    public static final int READ_BACK_RETRY_MS = 300;

    /** Bytes of a write in addition to its value, as an upper estimate: the key and the delimiters. */
    public static final int WRITE_OVERHEAD_BYTES = 200;

    /** Bytes of one transaction; the protocol allows 64 KiB including conditions and keys. */
    public static final int MAX_TXN_BYTES = 48 * 1024;
    /** Compare-and-set attempts of one cancellation before the user is asked to retry later. */
    public static final int MAX_CANCEL_TRIES = 5;

    // ---- leadership -------------------------------------------------------------------------------------------
    /** Milliseconds; well below a worker lease, so that a new leader responds before worker leases run out. */
    public static final int LEADER_LEASE_MS = 4000;
    /** Milliseconds between renewals of the leader lease; three may be lost before the lease ends. */
    public static final int LEADER_RENEW_INTERVAL_MS = 1000;
    /** Milliseconds; a campaign starts after a random part of this, so that two campaigns seldom collide. */
    public static final int CAMPAIGN_JITTER_MS = 300;
    /**
     * Seconds after its start in which a controller campaigns ahead of the others; in a rolling restart it will not be
     * restarted again.
     */
    public static final double EARLY_CAMPAIGN_UPTIME_S = 150;
    /** Share of the jitter within which recently started controllers campaign; the others campaign after it. */
    public static final double EARLY_CAMPAIGN_SHARE = 0.4;
    /** Milliseconds between two reads of the leader key, which detect a vacancy that the watch does not show. */
    public static final int LEADER_KEY_POLL_MS = 700;
    /** Report intervals over which reports are counted; each worker has reported to some controller in that time. */
    public static final double REPORT_COUNT_WINDOW_INTERVALS = 1.5;
    /** Share of the machines that must report to peers before a leader that receives no reports resigns. */
    public static final double ISOLATION_PEER_REPORT_SHARE = 0.25;
    /** Least number of reports to peers for a leader to count as isolated; a few machines may fail by themselves. */
    public static final int ISOLATION_MIN_REPORTS = 3;
    /** Share of the peers' number of reports up to which a leader counts as receiving none. */
    public static final double ISOLATION_OWN_REPORT_SHARE = 0.05;
    /**
     * Seconds between two writes of a follower's number of reports to the state service, where the leader cannot be
     * reached directly.
     */
    public static final double STORED_COUNTS_INTERVAL_S = 2;

    /**
     * Seconds added to {@link #STORED_COUNTS_INTERVAL_S} between two reads, so that each updated number was written in
     * between.
     */
    public static final double STORED_COUNTS_MARGIN_S = 0.5;

    /**
     * Factor by which the highest number of reports of a peer decays each second; a tenth is left after ten seconds.
     */
    public static final double REPORT_PEAK_DECAY = 0.8;

    /** Seconds of a term before the leader may count as isolated; workers find a new one in two attempts of 5 s. */
    public static final double ISOLATION_MIN_TERM_S = 12;
    /** Seconds for which a leader that resigned does not campaign, so that another controller is elected. */
    public static final double RESIGNED_CAMPAIGN_PAUSE_S = 10;
    /** Share by which two monotonic clocks may differ: the drift of one, doubled as both drift, and rounded up. */
    public static final double MAX_CLOCK_DRIFT = 0.002;
    /** Seconds added as a safety margin wherever correctness depends on elapsed time. */
    public static final double TIMING_MARGIN_S = 0.5;
    /**
     * Seconds between the end of the last worker lease that a leader without news of cancellations may renew and the
     * time by which a cancelled task must be gone.
     */
    public static final double CANCEL_MARGIN_S = 2.0;

    // ---- rounds -----------------------------------------------------------------------------------------------
    /** Milliseconds between rounds of the allocator. */
    public static final int ROUND_INTERVAL_MS = 1000;
    /** Seconds after which a job that has not started goes ahead of all queues; users expect a start within 240 s. */
    public static final double STARVATION_LIMIT_S = 120;
    /** Seconds before a failed task is retried, doubled with each failure. */
    public static final double TASK_RETRY_BASE_S = 2.0;
    /** Seconds; the longest wait before a failed task is retried. */
    public static final double MAX_TASK_RETRY_S = 60.0;
    /** Seconds before a start that a worker refused (no free capacity, busy, unknown) is retried. */
    public static final double REFUSED_START_RETRY_S = 2.0;
    /** Start delay, in seconds, that having one replica fewer of the same service on a machine is worth. */
    public static final double REPLICA_SPREAD_COST_S = 0.3;
    /** Seconds from a round until a replica runs, without the image fetch: a write, a message, the worker's start. */
    public static final double REPLICA_START_S = 1;
    /**
     * Replicas that a service must have for one of them to start late on a CPU machine, so that the next services of
     * its image find the image there.
     */
    public static final int IMAGE_WARMUP_MIN_REPLICAS = 4;
    /** CPU machines that should have the image of a service; two, as one may be lost. */
    public static final int IMAGE_WARMUP_MACHINES = 2;
    /** Factor by which an image fetch may take longer than estimated; fetch rates differ by a third. */
    public static final double SLOW_FETCH_FACTOR = 1.33;
    /** Cost of each second of an image fetch, without the additional cost of a late replica. */
    public static final double FETCH_TIME_WEIGHT = 0.2;

    /** Cost of each second by which a replica runs later than it should. */
    public static final double LATENESS_WEIGHT = 4;
    /**
     * Seconds of waiting in which a service is placed only on machines where it is not late, and on accelerator
     * machines only if it needs accelerators.
     */
    public static final double CPU_MACHINES_FIRST_S = 1.2;
    /** Share of the fetch time that is assumed to remain when another task on the machine has the same image. */
    public static final double SHARED_FETCH_SHARE = 0.6;
    /**
     * Cost of the first replica on a machine, in seconds for each multiple of the cheapest type's price; a replica
     * stays for minutes, and its machine cannot be returned meanwhile.
     */
    public static final double KEPT_MACHINE_COST_S = 0.25;

    /** Upper limit, in seconds, of the cost of the first replica on a machine. */
    public static final double MAX_KEPT_MACHINE_COST_S = 6;
    /** Start delay, in seconds, that a replica accepts to avoid the machine where it last exited by itself. */
    public static final double REPLICA_EXIT_PENALTY_S = 60;
    /** Seconds of past service submissions from which the capacity to keep for further services is estimated. */
    public static final double SERVICE_DEMAND_WINDOW_S = 90;
    /**
     * Seconds, in addition to a boot, for which the capacity kept for further services must last: a round, a request
     * and the next list of commands.
     */
    public static final double SERVICE_HEADROOM_S = 15;
    /** Seconds of rental assumed when the cost of a machine for a service is estimated. */
    public static final double ASSUMED_SERVICE_RENTAL_S = 600;
    /**
     * Report intervals without a report after which a machine with replicas is returned, if other machines of its zone
     * report.
     */
    public static final double REPLICA_SILENCE_INTERVALS = 2.6;
    /** Share of a zone's machines up to which late reports are attributed to the machines and not to the network. */
    public static final double REPLICA_SILENCE_MAX_SHARE = 0.1;
    /**
     * Seconds for which a leader must have received reports before it returns silent machines with replicas early;
     * workers find a new leader in two attempts of 5 s.
     */
    public static final double REPLICA_SILENCE_MIN_TERM_S = 16;
    /**
     * Seconds before the cloud reclaims a machine at which its replicas are stopped, whether or not there is capacity
     * for them elsewhere.
     */
    public static final double REPLICA_FORCED_STOP_S = 2;
    /** Seconds of lost work that stopping a replica counts as; all users of the service miss it. */
    public static final double REPLICA_LOSS_COST_S = 1000;
    /**
     * Seconds after which a replica counts as having worked; an exit after that does not suggest that it cannot run.
     */
    public static final double REPLICA_STABLE_AFTER_S = 30;
    /**
     * Seconds between two consecutive reports to the same controller, at most, if the first was answered; a worker
     * without a response waits 4 s and turns to another controller 1 s later.
     */
    public static final double MAX_CONSECUTIVE_REPORT_GAP_S = 4.9;
    /** Seconds in which a machine that lost its worker lease should have reported twice and can get work again. */
    public static final double LEASE_RECOVERY_S = 8;
    /**
     * Times that a start was sent and a newer report did not contain the attempt, after which the machine counts as
     * unreachable.
     */
    public static final int MAX_IGNORED_STARTS = 2;
    /**
     * Seconds after which responses to a machine are withheld if a start that was sent directly to its worker is
     * neither acknowledged nor seen in a report, so that the start can no longer take effect once the worker lease
     * has run out.
     */
    public static final double UNCONFIRMED_START_S = 4;
    /** Milliseconds that a worker may take to carry out commands that were sent directly to it. */
    public static final int COMMAND_TIMEOUT_MS = 2500;
    /** Direct commands in progress at the same time; each has a connection of its own. */
    public static final int MAX_DIRECT_COMMANDS_IN_FLIGHT = 48;
    /**
     * Direct commands in progress up to which starts of CPU-only array tasks are sent directly; the remaining ones
     * are for starts that users wait for (gangs, services, accelerator jobs).
     */
    public static final int MAX_NON_URGENT_DIRECT_COMMANDS = 16;
    /** Milliseconds after a round before which no other round starts early. */
    public static final int MIN_EARLY_ROUND_DELAY_MS = 400;
    /**
     * Worker leases for which a machine may report while responses have no effect on it, before it is returned; all
     * its work has ended after one.
     */
    public static final double OUT_OF_CONTACT_RETURN_LEASES = 3;
    /** Tasks of a job that must have run before the run time of another task counts against its machine. */
    public static final int SLOWNESS_MIN_SAMPLES = 6;
    /**
     * Natural logarithm of the factor by which a task may run longer than the mean and still be normal: 1.4 times,
     * about one standard deviation.
     */
    public static final double SLOWNESS_TOLERANCE_LOG = 0.35;
    /**
     * Natural logarithm of the largest slowdown that one task may count; a task whose end was observed late says little
     * about its speed.
     */
    public static final double MAX_SLOWNESS_PER_TASK_LOG = 0.8;
    /** Sum of slowdowns beyond the tolerance at which a machine is quarantined: four tasks in a row at half speed. */
    public static final double SLOWNESS_QUARANTINE_THRESHOLD = 1.2;
    /**
     * Share of the machines that may be quarantined while another one is quarantined for slowness; if more are slow,
     * the machines are not the cause.
     */
    public static final double MAX_QUARANTINED_SHARE = 0.06;
    /** Failures in a row on one machine, of at least two different jobs, before it is quarantined. */
    public static final int QUARANTINE_FAILURES = 2;
    /** Machines on which a job that has never completed a task must have failed before the job itself is suspected. */
    public static final int SUSPECT_JOB_MACHINES = 3;

    /** Start delay, in seconds, that a task accepts to avoid a machine where its job has failed. */
    public static final double JOB_FAILURE_PENALTY_S = 20;

    /** Characters of a record without its tasks and names: numbers of the specification, failures, zones, keys. */
    public static final int RECORD_FIXED_CHARS = 1300;
    /** Characters of a machine in a record in addition to its name: zone and session with their delimiters. */
    public static final int RECORD_MACHINE_OVERHEAD_CHARS = 8;
    /** Characters assumed for the name of a machine that is not chosen yet. */
    public static final int ASSUMED_MACHINE_NAME_CHARS = 9;
    /** Seconds of the grace period that a preempted task with checkpoints gets in addition to its own saving time. */
    public static final double SAVE_GRACE_S = 1.0;
    /** Seconds after tasks were stopped for a job in which no others are stopped for the same job. */
    public static final double PREEMPT_PAUSE_S = 3.0;

    /**
     * Seconds that a job within its team's guarantee waits for capacity to come free before best-effort tasks are
     * stopped for it. Best-effort tasks are array tasks of idle priority of teams without a guarantee.
     */
    public static final double BEST_EFFORT_PREEMPTION_DELAY_S = 3;

    /** Share of all CPUs that best-effort tasks keep in total; without it none of them would ever complete. */
    public static final double BEST_EFFORT_MIN_CPU_SHARE = 0.1;

    /**
     * Seconds before a task's expected end from which its capacity may be assigned to a standby task, which starts on
     * that machine when the capacity is free: a round, a write and a report.
     */
    public static final double STANDBY_LEAD_TIME_S = 4;
    /** Seconds after which a standby task goes back to its queue. */
    public static final double MAX_STANDBY_WAIT_S = 10;
    /**
     * Share of a CPU machine that the tasks of an overflow job, a CPU-only job that may also use accelerator
     * machines, must be able to fill to be placed there in their turn; other overflow jobs get CPU machines last.
     */
    public static final double MIN_PACKING_SHARE = 0.7;
    /** Seconds within which a machine must be expected to come free to be held for a gang. */
    public static final double MAX_GANG_HOLD_WAIT_S = 60;
    /** Tasks of one pending accelerator job, at most, for which accelerator machines are closed to overflow jobs. */
    public static final int OVERFLOW_BLOCK_TASKS = 8;
    /** Share of the accelerator machines that may be closed to overflow at the same time. */
    public static final double OVERFLOW_BLOCK_SHARE = 0.5;
    /** Seconds for which a machine stays closed to overflow; short tasks need about as long to complete. */
    public static final double OVERFLOW_BLOCK_S = 30;
    /**
     * Share of its slack (the seconds until its tasks must start for it to be done when due) that a job may wait for
     * CPU machines before it overflows to accelerator machines.
     */
    public static final double OVERFLOW_SLACK_SHARE = 0.75;

    // ---- machines ---------------------------------------------------------------------------------------------
    /** Departed machines that are remembered, at least; twice the number of machines if that is more. */
    public static final int MIN_REMEMBERED_DEPARTED_MACHINES = 2000;
    /** Jobs finished in a term that are remembered, at least; twice the number of live jobs if that is more. */
    public static final int MIN_REMEMBERED_FINISHED_JOBS = 4000;
    /** Multiple of the nominal lag by which a machine list lags at most. */
    public static final double MAX_LIST_LAG_FACTOR = 2;
    /** Milliseconds between two reads of the machine list, which lags by seconds anyway. */
    public static final int MACHINE_LIST_INTERVAL_MS = 8000;
    /** Milliseconds between two reads of the machine types; prices change slowly. */
    public static final int MACHINE_TYPES_INTERVAL_MS = 60_000;
    /**
     * Connections to the cloud for rentals, returns and machine lists in parallel; far more than its rate limit needs.
     */
    public static final int CLOUD_CONNECTIONS = 3;
    /** Milliseconds that a call to the cloud may take. */
    public static final int CLOUD_TIMEOUT_MS = 4000;
    /** Seconds before the machine types are read again after a failed read. */
    public static final double MACHINE_TYPES_RETRY_S = 3;

    /** Milliseconds before rentals that wait for the cloud's rate limit are tried again. */
    public static final int RENTAL_RATE_LIMIT_RETRY_MS = 250;

    /** Times that a rental without a response is sent again under its name. */
    public static final int MAX_RENTAL_RETRIES = 3;

    /** Milliseconds before a rental without a response is sent again. */
    public static final int RENTAL_RETRY_MS = 500;

    /** Share of the cloud's rate limit that rentals may use; machine lists, returns and machine types need the rest. */
    public static final double RENT_CALL_SHARE = 0.6;
    /** Seconds without rentals after the cloud's API was unavailable or its rate limit was reached. */
    public static final double CLOUD_ERROR_PAUSE_S = 2;
    /** Seconds for which an exhausted capacity pool (type, zone, spot) is not requested again. */
    public static final double NO_CAPACITY_PAUSE_S = 15.0;

    /** Multiple of the expected boot time after which a machine is given up as never coming up; up to 1.5 is usual. */
    public static final double BOOT_TIMEOUT_FACTOR = 2.2;
    /** Seconds added to the boot timeout, so that types with short boot times are not given up over small delays. */
    public static final double BOOT_TIMEOUT_MARGIN_S = 15.0;
    /**
     * Multiple of its expected boot time after which a rented machine is not counted on any more, though it may still
     * come up.
     */
    public static final double BOOT_OVERDUE_FACTOR = 1.6;

    /**
     * Seconds in which the weight of an observed boot halves, so that a capacity pool with slow boots is tried again
     * after a time.
     */
    public static final double BOOT_HALF_LIFE_S = 120;

    /** Multiple of the nominal boot time that one late machine counts at most. */
    public static final double MAX_BOOT_RATIO = 4;

    /** Boots in the nominal time that each capacity pool is credited with before any was observed. */
    public static final double BOOT_PRIOR_SAMPLES = 4;

    /** Share of rented machines that is assumed never to come up before any was observed. */
    public static final double BOOT_LOSS_PRIOR = 0.02;

    /** Overdue machines of a capacity pool from which on it may be avoided. */
    public static final int MIN_OVERDUE_MACHINES = 3;

    /** Seconds for which nothing more is rented from a capacity pool most of whose machines are overdue. */
    public static final double OVERDUE_POOL_PAUSE_S = 20;

    /** Seconds of boot time assumed for a machine of unknown type. */
    public static final double DEFAULT_BOOT_S = 60;

    /** Seconds of work assumed, at least, when the cost of a rental is estimated. */
    public static final double MIN_ESTIMATED_RENTAL_S = 30;

    /** More of any resource than all machines together have; stands for the limit of a team without one. */
    public static final double UNLIMITED = 1e12;

    /** Seconds in addition to the worker lease after which a silent machine is returned. */
    public static final double SILENT_RETURN_MARGIN_S = 6.0;
    /**
     * Additional seconds for which the machines of a mostly silent zone are kept; a network cut ends, while
     * replacements would have to be paid for while they boot.
     */
    public static final double SILENT_ZONE_KEEP_S = 150;
    /** Seconds for which an idle machine is kept; a rental costs a boot and at least 60 s. */
    public static final double IDLE_KEEP_S = 20.0;
    /**
     * Seconds that a job's tasks wait for existing machines, at least; a machine is rented only for work beyond that.
     */
    public static final double MIN_WAIT_HORIZON_S = 20.0;
    /** Seconds of queued work, at most, that is left to existing machines. */
    public static final double MAX_WAIT_HORIZON_S = 90.0;
    /** Share of a job's slack that its tasks may wait for existing machines. */
    public static final double WAIT_HORIZON_SLACK_SHARE = 0.45;
    /** Factor on spot prices that accounts for the work lost when a machine is reclaimed. */
    public static final double SPOT_RISK = 1.15;
    /**
     * Rentals from one capacity pool that are decided at once, so that a queue of thousands of tasks does not wait for
     * ten rounds.
     */
    public static final int MAX_RENTALS_PER_POOL = 4;
    /** Rental requests in progress at the same time. */
    public static final int MAX_RENTALS_IN_FLIGHT = 3;
    /** Seconds' worth of calls that the cloud accepts at once. */
    public static final double CLOUD_BURST_S = 2;
    /** Machines in one rental. */
    public static final int MAX_MACHINES_PER_RENTAL = 50;
    /** Machine names in one return; the protocol's limit. */
    public static final int MAX_MACHINES_PER_RETURN = 100;

    // ---- controller -------------------------------------------------------------------------------------------
    /**
     * Seconds between two ticks above which the process counts as paused: far more than a slow round takes, and less
     * than a lease lasts or a peer's response stays valid.
     */
    public static final double MIN_PROCESS_PAUSE_S = 2.0;
    /** Milliseconds between a controller's ticks; everything periodic is a multiple of it. */
    public static final int TICK_MS = 100;

    /** Connections that may wait to be accepted, at least: a burst of users, or of a few hundred workers. */
    public static final int MIN_ACCEPT_BACKLOG = 512;
    /**
     * Sockets reserved for users; the load balancer opens about a hundred to one controller at most, and no user beyond
     * that is refused.
     */
    public static final int USER_CONNECTIONS = 100;
    /** Milliseconds after which a connection without a request is closed; workers report and users poll every 5 s. */
    public static final int IDLE_CONNECTION_TIMEOUT_MS = 30_000;
    /** Other file descriptors of the process: its class-data archive, selectors and listening sockets. */
    public static final int OTHER_FILE_DESCRIPTORS = 40;
    /** MB that a controller needs before its first job; it takes 45 to 52. */
    public static final int MIN_MEMORY_MB = 64;
    /**
     * MB in addition to the heap: classes, compiled code, stacks and buffers; 45 when idle, the rest is for buffers.
     */
    public static final int NON_HEAP_MB = 80;

    /**
     * Detection and handling of lost zones; operators may override the shares and times. A zone that returns gets
     * work under a limit on the starts in progress there, which grows step by step: the ramp.
     */
    public static final class Zones {
        private Zones() {}

        /**
         * Machines below which silence says nothing about a zone; two machines may fail independently at the same
         * time.
         */
        public static final int MIN_MACHINES = 3;
        /** Share of silent machines above which a zone is suspect; most of its machines do not fail independently. */
        public static final double SUSPECT_SHARE = 0.5;
        /**
         * Share of silent machines from which the zone as a whole counts as silent; some machines have yet to time out,
         * or are coming back already.
         */
        public static final double LOST_SHARE = 0.8;
        /** Share of silent machines up to which a suspect zone is present again; well below {@link #SUSPECT_SHARE}. */
        public static final double CLEAR_SHARE = 0.25;
        /** Share of reporting machines from which a lost zone counts as reporting. */
        public static final double RETURN_SHARE = 0.5;
        /**
         * Seconds for which a zone must be silent as a whole before it is lost: a report interval, so that late reports
         * can still arrive.
         */
        public static final double LOST_AFTER_S = 3;
        /**
         * Seconds for which a lost zone must report before it returns: a report interval, in addition to the first two
         * reports of its machines.
         */
        public static final double RETURN_AFTER_S = 2;
        /**
         * Seconds to which repeated losses lengthen {@link #RETURN_AFTER_S} at most; about as long as a network cut.
         */
        public static final double MAX_RETURN_AFTER_S = 60;
        /** Seconds without a loss after which one earlier loss is forgotten; twice {@link #MAX_RETURN_AFTER_S}. */
        public static final double LOSS_EXPIRY_S = 120;
        /** Starts that may be in progress at first in a returning zone, as a share of its reporting machines. */
        public static final double RAMP_START_SHARE = 0.2;
        /**
         * Growth of the limit on starts in a second without failures, as a share of the reporting machines; the limit
         * reaches all of them in eight seconds.
         */
        public static final double RAMP_GROW_SHARE = 0.1;
        /** Share of a returning zone's machines that may fetch images at the same time. */
        public static final double IMAGE_FETCH_SHARE = 0.5;
        /** Seconds between two steps of the ramp: a round. */
        public static final double RAMP_STEP_S = 1;
        /** Share of late machines above which the ramp is lowered; more than are late independently. */
        public static final double MAX_LATE_SHARE_IN_RAMP = 0.1;
        /** Reports to peers, as a share of the silent machines, above which the silence is not the zone's. */
        public static final double PEER_REPORT_SHARE = 0.5;
        /** Share of a lost zone's machines that is replaced at once for work that is not urgent. */
        public static final double IMMEDIATE_SUBSTITUTE_SHARE = 0.25;
        /**
         * Seconds in which all machines of a lost zone would be replaced; as long as a boot, after which waiting saves
         * nothing.
         */
        public static final double FULL_SUBSTITUTION_S = 30;
        /** Idle substitute machines that may be returned in a round, as a share of the starts that the ramp admits. */
        public static final double SUBSTITUTE_RETURN_SHARE = 0.5;
        /** Substitute machines that may be drained at the same time, as a share of the starts that the ramp admits. */
        public static final double CONCURRENT_MOVES_SHARE = 0.1;
        /** Seconds of remaining work below which a task is not moved. */
        public static final double MIN_MOVE_REMAINING_S = 60;
        /** Seconds that a move takes in addition to saving and fetching: a stop, a report, a round and a start. */
        public static final double MOVE_OVERHEAD_S = 10;
        /** Seconds between two writes of the zones' state for the next leader, while it changes. */
        public static final double STORE_INTERVAL_S = 2;
    }

    /**
     * Admission of submissions by team weights when more arrive than the state service can accept. The submissions of
     * one team and job class are a queue; a queue whose demand stays far above its rate (a flood) is limited. In a
     * limited queue, each submission has a slot on a ring, round which a cursor moves: its turn, in which it may be
     * admitted, comes when the cursor passes its slot. The leader plans the schedules of the cursors and publishes
     * them as the admission table.
     */
    public static final class Admission {
        private Admission() {}

        /**
         * Milliseconds ahead for which turns are final; long enough to give most submissions a final turn at once, as a
         * new rate takes effect only after it.
         */
        public static final long SCHEDULE_HORIZON_MS = 10_000;
        /** Milliseconds for which a turn lasts: rounding to a second, three attempts to connect, a lost response. */
        public static final long TURN_DURATION_MS = 6000;
        /**
         * Milliseconds for which a schedule is kept in addition to {@link #TURN_DURATION_MS}; clocks differ, and the
         * table is published once a second.
         */
        public static final long SCHEDULE_RETENTION_MS = 2000;
        /** Milliseconds between two plans; while a queue is limited, the table is at most that old. */
        public static final int PLAN_INTERVAL_MS = 1000;
        /**
         * Milliseconds after which a table limits no queue any more; by then its leader has ended and the next leader
         * has finished starting.
         */
        public static final long TABLE_TTL_MS = 30_000;
        /**
         * Seconds without a confirmation of the table after which a controller decides no submissions; watches are
         * answered within ten.
         */
        public static final double STALE_VIEW_S = 15;
        /**
         * Lowest {@link #STALE_VIEW_S} that operators may set: a watch without changes, and the transfer of its
         * response.
         */
        public static final double MIN_STALE_VIEW_S = 12;
        /** Highest {@link #STALE_VIEW_S} that operators may set; users give up after as long. */
        public static final double MAX_STALE_VIEW_S = 60;
        /** Share of the time until a view is stale after which a controller reads the table without the watch. */
        public static final double REREAD_AFTER_SHARE = 0.8;
        /** Seconds between two reads of the table without the watch. */
        public static final double REREAD_INTERVAL_S = 1;
        /** Milliseconds between two openings of the watch; a table is published once a second. */
        public static final int WATCH_PAUSE_MS = 200;
        /** Share of the write rate limit for submissions while no queue is limited; the leader needs little then. */
        public static final double UNLIMITED_QUEUES_SUBMISSION_SHARE = 0.6;
        /**
         * Seconds after the state service refused a request because of its rate limit, in which the leader may need
         * its whole share of writes.
         */
        public static final double STATE_RATE_LIMIT_WINDOW_S = 10;
        /** Share of the write rate limit always left to submissions: what the leader never uses, less a margin. */
        public static final double MIN_SUBMISSION_SHARE = 0.23;
        /**
         * Share of the write rate limit that is planned for; the rest is for elections, version announcements and the
         * image index.
         */
        public static final double PLANNED_SHARE = 0.95;
        /** Factor on the leader's recent write rate that gives the rate it is expected to need. */
        public static final double LEADER_HEADROOM_FACTOR = 1.15;
        /** Writes that a job costs the leader, at least: its start, the end of its live record and its final record. */
        public static final double MIN_WRITES_PER_JOB = 3;
        /**
         * Growth of the sustainable rate in a second while the leader leaves enough writes, as a share of the write
         * rate limit.
         */
        public static final double RATE_GROWTH_SHARE = 0.004;
        /** Multiple of the sustainable rate that the leader must leave for the sustainable rate to grow. */
        public static final double RATE_GROWTH_HEADROOM_FACTOR = 2;
        /** Multiple of its lowest value that the sustainable rate grows to at most. */
        public static final double MAX_RATE_GROWTH_FACTOR = 1.5;
        /**
         * Milliseconds after its turn in which a submission counts as an arrival; a repetition comes a second later.
         */
        public static final long FIRST_ARRIVAL_WINDOW_MS = 1000;
        /** Seconds over which the leader's write rate is averaged. */
        public static final double LEADER_RATE_TIME_CONSTANT_S = 2;
        /** Share of a queue's rate that its turns aim for; arrivals at single controllers are uneven. */
        public static final double TARGET_SHARE = 0.9;
        /** Seconds' worth of its rate that a token bucket holds; the state service accepts a second's worth at once. */
        public static final double BURST_S = 1;
        /** Seconds without submissions after which a job class has no bucket of its own any more. */
        public static final double CLASS_BUCKET_IDLE_S = 60;
        /**
         * Job classes of a team with a bucket of their own, as users choose the names of classes; all other classes
         * share one bucket.
         */
        public static final int MAX_CLASS_BUCKETS_PER_TEAM = 16;
        /** Tokens that a bucket of a team or queue holds, at least, so that two submissions at once are no flood. */
        public static final double MIN_BURST_TOKENS = 2;
        /**
         * Seconds' worth of a controller's rate by which submissions whose turn has come may overdraw their queue's
         * bucket; the cursor limits their number already, and they arrive unevenly.
         */
        public static final double OVERDRAFT_S = 10;
        /** Seconds over which rates are smoothed; two polls of the peers. */
        public static final double RATE_TIME_CONSTANT_S = 1.5;
        /** Submissions a second below which a queue counts as idle. */
        public static final double IDLE_RATE_PER_S = 0.05;
        /** Seconds for which a controller's counts are valid; they arrive once a second. */
        public static final double DEMAND_VALID_S = 3.5;
        /** Seconds' worth of submissions that are waiting when a flood is first detected. */
        public static final double FLOOD_ONSET_S = 2;
        /**
         * Milliseconds after which all controllers apply a new limit and have reported their counts to a new leader.
         */
        public static final long LIMIT_PROPAGATION_MS = 3000;
        /** Seconds over which the arrivals at a cursor are averaged. */
        public static final double ARRIVAL_TIME_CONSTANT_S = 6;
        /** Weight of the initial estimate of the arrival rate, as a number of arrivals. */
        public static final double ARRIVAL_PRIOR_WEIGHT = 3;
        /**
         * Laps of the ring a second below which the speed of a restored cursor says nothing about arrivals; one in
         * three hours.
         */
        public static final double MIN_LAPS_PER_S = 1e-4;
        /** Seconds after which users give up; from then on the number of waiting submissions does not grow. */
        public static final double USER_GIVE_UP_S = 60;
        /** Share of the rate that may be admitted below which the demand of a queue counts as low. */
        public static final double RELEASE_SHARE = 0.8;
        /** Milliseconds for which the demand must be low before a queue is no longer limited. */
        public static final long RELEASE_AFTER_MS = 5000;
        /**
         * Seconds without further limits after an outage or the return of a controller, when all submissions that were
         * not admitted meanwhile come back.
         */
        public static final double OUTAGE_RECOVERY_S = 5;
        /**
         * Queues that are counted and limited, at most, as users choose the names of job classes; further queues are
         * limited by their team only.
         */
        public static final int MAX_TRACKED_QUEUES = 64;
        /** Seconds in a {@code Retry-After}, at most. */
        public static final int MAX_RETRY_AFTER_S = 30;
        /** Seconds over which the longest values of {@code Retry-After} are spread. */
        public static final int RETRY_AFTER_SPREAD_S = 10;
        /**
         * Share of the time until a turn that is not final after which a submission is to be repeated; the turn may
         * come sooner than planned.
         */
        public static final double RECHECK_SHARE = 0.6;
        /** Seconds after which submissions that were throttled in a queue without a limit come back, on average. */
        public static final double UNDECIDED_MEAN_RETRY_S = 2.5;
        /**
         * Seconds in which a queue without a limit would admit all submissions that come back; if it takes longer, the
         * queue is limited.
         */
        public static final double MAX_DRAIN_S = 10;
        /** Seconds over which submissions come back that were throttled before the leader detected a flood. */
        public static final int UNDECIDED_RETRY_SPREAD_S = 4;
        /** Seconds over which submissions come back that reached a controller with a stale view. */
        public static final int STALE_VIEW_RETRY_SPREAD_S = 2;
    }

    // ---- users ------------------------------------------------------------------------------------------------
    /** Seconds that a user waits for a response, at most; the protocol's value for submissions. */
    public static final double USER_REQUEST_TIMEOUT_S = 5;

    /**
     * Seconds after a long process pause in which users' requests are refused, because most of them arrived during
     * the pause and their users have given up.
     */
    public static final double SHED_AFTER_PAUSE_S = 0.5;

    /** Seconds without a rate-limited request after which the users' load counts as within the rate limit. */
    public static final double OVERLOAD_CLEAR_S = 10;

    /** Seconds in the {@code Retry-After} of a request that cannot be served. */
    public static final int RETRY_AFTER_S = 1;
    /** Final states that a controller keeps in memory; each takes about 100 bytes. */
    public static final int FINAL_STATE_CACHE_SIZE = 4000;
    /**
     * Milliseconds without a successful request to the state service after which a controller reports itself unhealthy,
     * if the state service is available to a peer.
     */
    public static final int UNHEALTHY_AFTER_MS = 4000;

    /**
     * Seconds for which a controller includes a cancellation in its responses to peers; several lost responses must not
     * lose one.
     */
    public static final double CANCELLATION_RETENTION_S = 20;

    // ---- peers ------------------------------------------------------------------------------------------------
    /** Milliseconds between two requests to a peer. */
    public static final int PEER_POLL_INTERVAL_MS = 1000;
    /** Seconds for which a peer's status in its last response counts as current. */
    public static final double PEER_RESPONSE_VALID_S = 3;
    /** Refused connections in a row after which a peer's process counts as ended. */
    public static final int PEER_ENDED_REFUSALS = 2;
    /** Milliseconds between connection attempts after a refusal; longer than a momentary overflow of a listen queue. */
    public static final int PEER_REFUSED_RETRY_MS = 250;
    /** Seconds after which a refusal is unrelated to an earlier one. */
    public static final double PEER_REFUSAL_WINDOW_S = 2.5;
    /** Connections accepted from each peer; all but one are dead and not yet detected as such. */
    public static final int MAX_ACCEPTED_PER_PEER = 4;
    /** Milliseconds that a peer may take to respond or connect. */
    public static final int PEER_TIMEOUT_MS = 1500;
}
