package org.mountlug;

/**
 * Every constant of the service, each with its unit and the reason for its value. What the operator's platform decides
 * (budgets, leases, limits) is not here: it comes with the settings file.
 */
public final class Constants {
    private Constants() {}

    // ---- wire -------------------------------------------------------------------------------------------------
    /** Bytes; the protocol's limit for a request body and for our answers. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** Tasks; the protocol's limit for one job. */
    public static final int MAX_TASKS_PER_JOB = 100_000;
    /** Bytes; one buffer holds nearly every message of the protocol, so that a request is read in one call. */
    public static final int IO_BUFFER_BYTES = 8 * 1024;
    /** Characters of a name in a submission; keeps a record far below the state service's value limit. */
    public static final int MAX_NAME_CHARS = 120;

    // ---- state service ----------------------------------------------------------------------------------------
    /** Milliseconds; answers take 10 ms, now and then a few hundred, so a second without one is a lost call. */
    public static final int STATE_TIMEOUT_MS = 1500;
    /** Milliseconds a read for a user may take: users hang up on a poll after 2 s. */
    public static final int POLL_TIMEOUT_MS = 1200;
    /** Milliseconds a watch stays open; rare enough to cost next to nothing of the request budget. */
    public static final int WATCH_BLOCK_MS = 10_000;
    /** Milliseconds between a follower's openings of its watch on reservations, which nothing waits for. */
    public static final int RESERVATION_WATCH_PAUSE_MS = 2000;
    /** Milliseconds between two openings of a watch: a leader's own changes wake its watch, this bounds the echo. */
    public static final int WATCH_PAUSE_MS = 250;
    /** Share of the change budget that the leader's flush may use; the rest is for submissions and aborts. */
    public static final double LEADER_WRITE_SHARE = 0.72;
    /** Share of the request budget that all users' requests together may use; the rest is the controllers' own. */
    public static final double USER_REQUEST_SHARE = 0.88;

    /** Share of the request budget kept by all nodes together for submissions and aborts, ahead of polls. */
    public static final double SUBMIT_SHARE = 0.6;

    /** Seconds' worth of its part of submissions that a node may use at once: users come in uneven numbers. */
    public static final double SUBMIT_BURST_S = 3;

    /** The same for polls, which a storm brings to all nodes at once; the state service takes a second's worth. */
    public static final double READ_BURST_S = 0.8;
    /** Share of a value's limit that a record may fill; the limit counts JSON characters, we count conservatively. */
    public static final double VALUE_FILL_SHARE = 0.85;
    /** Connections kept to the state service: a leader's writes and reads and a burst of submissions side by side. */
    public static final int STATE_CONNECTIONS = 8;
    /** Connections for watches: leader key, reservations, live jobs, and one to spare. */
    public static final int WATCH_CONNECTIONS = 4;
    /** Milliseconds between two flushes: late enough to batch, early enough that "done" is told within 3 s. */
    public static final int FLUSH_INTERVAL_MS = 250;
    /** Milliseconds a change that nobody waits for (progress of a running array) may wait for company. */
    public static final int LAZY_FLUSH_DELAY_MS = 2500;
    /** Milliseconds between two notes of which machine has which image; a help for the next leader only. */
    public static final int IMAGE_INDEX_INTERVAL_MS = 5000;
    /** Notes of images written at a time: a fleet of thousands has dozens, and none is urgent. */
    public static final int IMAGE_INDEX_WRITES_PER_INTERVAL = 4;
    /** Milliseconds between two looks at what the other controllers read, while one of them runs an older version. */
    public static final int VERSION_CHECK_INTERVAL_MS = 2000;
    /** Milliseconds between two tries of a controller to write down what it reads. */
    public static final int VERSION_ANNOUNCE_RETRY_MS = 1000;
    /** Keys that nothing needs any more that are deleted with one change. */
    public static final int MAX_ORPHANED_KEYS_PER_TXN = 4;
    /** Seconds without a change after one with reservations failed: longer than a watch takes to show a user's abort. */
    public static final double STALE_RESERVATION_RETRY_S = 0.4;
    /** Seconds without a change after one was refused for good. */
    public static final double REFUSED_TXN_PAUSE_S = 0.5;
    /** Seconds for which a job whose change was refused for good is not written, so that the others are. */
    public static final double REFUSED_JOB_WRITE_PAUSE_S = 15;
    /** Seconds before a change is sent again that was not served. */
    public static final double UNSERVED_TXN_RETRY_S = 0.4;

    /** Seconds before a change is sent again, unchanged, that got no answer. */
    public static final double UNANSWERED_TXN_RETRY_S = 0.3;

    /** Milliseconds between two tries to read back what a change met. */
    public static final int READ_BACK_RETRY_MS = 300;

    /** Bytes of a write beside its value, reckoned high: the key and the signs round it. */
    public static final int WRITE_OVERHEAD_BYTES = 200;

    /** Bytes of one transaction; the protocol allows 64 KiB with conditions and keys. */
    public static final int MAX_TXN_BYTES = 48 * 1024;
    /** Compare-and-set tries of one abort before the user is told to come back. */
    public static final int MAX_CANCEL_TRIES = 5;

    // ---- leadership -------------------------------------------------------------------------------------------
    /** Milliseconds; well below a worker's lease, so that a successor answers before leases run out. */
    public static final int LEADER_LEASE_MS = 4000;
    /** Milliseconds between renewals: three may be lost before the lease ends. */
    public static final int LEADER_RENEW_INTERVAL_MS = 1000;
    /** Milliseconds; a campaign starts after a random part of this, so that two seldom collide. */
    public static final int CAMPAIGN_JITTER_MS = 300;
    /** Seconds of a process's life in which it campaigns ahead of others: in a rolling restart its turn is over. */
    public static final double EARLY_CAMPAIGN_UPTIME_S = 150;
    /** Part of the spread in which such processes campaign, the others after it. */
    public static final double EARLY_CAMPAIGN_SHARE = 0.4;
    /** Milliseconds between looks at the leader key when the watch does not work. */
    public static final int LEADER_KEY_POLL_MS = 700;
    /** Report intervals over which reports are counted: each worker has reported somewhere in that time. */
    public static final double REPORT_COUNT_WINDOW_INTERVALS = 1.5;
    /** Share of the machines that must report to other nodes before a leader that hears none gives up. */
    public static final double ISOLATION_PEER_REPORT_SHARE = 0.25;
    /** The same, the least number; a few machines may be lost by themselves. */
    public static final int ISOLATION_MIN_REPORTS = 3;
    /** Share of the others' reports up to which a leader counts as hearing none. */
    public static final double ISOLATION_OWN_REPORT_SHARE = 0.05;
    /** Seconds between two writings of how many reports come to a follower, where the leader cannot be told itself. */
    public static final double STORED_COUNTS_INTERVAL_S = 2;

    /** Seconds more between two readings, so that each number that is still written was written in between. */
    public static final double STORED_COUNTS_MARGIN_S = 0.5;

    /** Part of the most reports that came to a peer that still counts a second later: a tenth after ten seconds. */
    public static final double REPORT_PEAK_DECAY = 0.8;

    /** Seconds a term lasts at the least before that is judged: workers find a new leader in two tries of 5 s. */
    public static final double ISOLATION_MIN_TERM_S = 12;
    /** Seconds for which a leader that gave up leaves the campaign to the others. */
    public static final double RESIGNED_CAMPAIGN_PAUSE_S = 10;
    /** Factor by which two steady clocks may differ, doubled (both drift) and rounded up. */
    public static final double MAX_CLOCK_DRIFT = 0.002;
    /** Seconds kept as margin in every proof that rests on time. */
    public static final double TIMING_MARGIN_S = 0.5;
    /** Seconds kept between the last renewal a blind leader may give and the time a cancelled task must be gone. */
    public static final double CANCEL_MARGIN_S = 2.0;

    // ---- rounds -----------------------------------------------------------------------------------------------
    /** Milliseconds between rounds of the allocator; the design's figure. */
    public static final int ROUND_INTERVAL_MS = 1000;
    /** Seconds after which a job that has not begun goes ahead of all queues; users want every job begun in 240 s. */
    public static final double STARVATION_LIMIT_S = 120;
    /** Seconds before a task that failed is tried again, doubled with each failure. */
    public static final double TASK_RETRY_BASE_S = 2.0;
    /** Seconds; longest wait before a failed task is tried again. */
    public static final double MAX_TASK_RETRY_S = 60.0;
    /** Seconds before a refused start (no room, busy, unknown) is tried again. */
    public static final double REFUSED_START_RETRY_S = 2.0;
    /** Seconds of a later start that one fewer replica of the same service on a machine is worth. */
    public static final double REPLICA_SPREAD_COST_S = 0.3;
    /** Seconds from a round to a replica that runs, beside the fetch: a write, a message, the worker's own start. */
    public static final double REPLICA_START_S = 1;
    /** Replicas from which on one may be late for the sake of the next services of its image. */
    public static final int IMAGE_WARMUP_MIN_REPLICAS = 4;
    /** Cheap machines that should have an image of services: one may be lost. */
    public static final int IMAGE_WARMUP_MACHINES = 2;
    /** How much longer than reckoned a fetch may take: rates differ by a third. */
    public static final double SLOW_FETCH_FACTOR = 1.33;
    /** What a second of fetching counts up to when a replica should run, and from then on. */
    public static final double FETCH_TIME_WEIGHT = 0.2;

    public static final double LATENESS_WEIGHT = 4;
    /** Seconds from its submission in which a service takes cheap machines only. */
    public static final double CHEAP_FIRST_S = 1.2;
    /** Part of a fetch still to wait for when another task on the machine waits for the same image. */
    public static final double SHARED_FETCH_SHARE = 0.6;
    /**
     * What keeping a machine for a first replica counts, for each time that its price is that of the cheapest type, and
     * at the most: a replica stays for minutes, and its machine cannot be returned meanwhile.
     */
    public static final double KEPT_MACHINE_COST_S = 0.25;

    public static final double MAX_KEPT_MACHINE_COST_S = 6;
    /** Seconds of a later start for which a replica is not tried again where it last ended by itself. */
    public static final double REPLICA_EXIT_PENALTY_S = 60;
    /** Seconds of the past in which the services asked for tell how much room to keep for the next ones. */
    public static final double SERVICE_DEMAND_WINDOW_S = 90;
    /** Seconds beyond a boot for which that room must last: a round, a request, and the next list of orders. */
    public static final double SERVICE_HEADROOM_S = 15;
    /** Seconds for which the price of a machine rented for a service is reckoned. */
    public static final double ASSUMED_SERVICE_RENTAL_S = 600;
    /** Report intervals without a word after which a machine with replicas is given up, where others are heard. */
    public static final double REPLICA_SILENCE_INTERVALS = 2.6;
    /** Share of a zone's machines up to which silence is theirs and not the network's. */
    public static final double REPLICA_SILENCE_MAX_SHARE = 0.1;
    /** Seconds of a term before which silences are not judged so: workers find a new leader in two tries of 5 s. */
    public static final double REPLICA_SILENCE_MIN_TERM_S = 16;
    /** Seconds left to a machine at which its replicas stop, whether there is room for them elsewhere or not. */
    public static final double REPLICA_FORCED_STOP_S = 2;
    /** Seconds of work that a stopped replica counts as much as: it is missed by everybody who uses the service. */
    public static final double REPLICA_LOSS_COST_S = 1000;
    /** Seconds after which a replica counts as having worked: an end after that is no sign of one that cannot run. */
    public static final double REPLICA_STABLE_AFTER_S = 30;
    /** Seconds between two reports to the same node: a worker without an answer waits 4 s and moves on after 1 s more. */
    public static final double MAX_CONSECUTIVE_REPORT_GAP_S = 4.9;
    /** Seconds in which a machine that lost its lease should be heard of twice and get work again. */
    public static final double LEASE_RECOVERY_S = 8;
    /** Reports without a start that was sent before each, after which its machine counts as not hearing us. */
    public static final int MAX_IGNORED_STARTS = 2;
    /** Seconds after which a start sent directly to a worker, neither answered nor seen, must be made impossible. */
    public static final double UNCONFIRMED_START_S = 4;
    /** Milliseconds a worker may take to carry out orders that were sent directly to it. */
    public static final int COMMAND_TIMEOUT_MS = 2500;
    /** Orders on their way directly to workers at the same time; each has a connection of its own. */
    public static final int MAX_DIRECT_COMMANDS = 48;
    /** Of these, how many may be for starts that nobody waits for by the second: what is left is for those. */
    public static final int MAX_NON_URGENT_DIRECT_COMMANDS = 16;
    /** Milliseconds after a round before which no other starts early, whoever waits. */
    public static final int MIN_EARLY_ROUND_DELAY_MS = 400;
    /** Leases for which a machine may hear nothing before it is returned: all its work has ended after one. */
    public static final double OUT_OF_CONTACT_RETURN_LEASES = 3;
    /** Tasks of a job that must have run before another's run time is held against them. */
    public static final int SLOWNESS_MIN_SAMPLES = 6;
    /** Natural logarithm of how much longer a task may run and still be ordinary: 1.4 times, about a deviation. */
    public static final double SLOWNESS_TOLERANCE_LOG = 0.35;
    /** The same, the most that one task may count: one that was seen to end late tells little. */
    public static final double MAX_SLOWNESS_PER_TASK_LOG = 0.8;
    /** Sum of what is beyond the ordinary at which a machine is condemned: four tasks at half the speed in a row. */
    public static final double SLOWNESS_QUARANTINE_THRESHOLD = 1.2;
    /** Share of the machines that may be condemned at a time when another is for slowness: more is no fault of machines. */
    public static final double MAX_QUARANTINED_SHARE = 0.06;
    /** Failures in a row on one machine, of at least two different jobs, before it is quarantined. */
    public static final int QUARANTINE_FAILURES = 2;
    /** Machines on which a job that never completed a task must have failed to be suspected of a mistake itself. */
    public static final int SUSPECT_JOB_MACHINES = 3;

    /** Seconds of a later start for which a job's task is not tried again where the job has failed. */
    public static final double JOB_FAILURE_PENALTY_S = 20;

    /** Characters of a record beside its tasks and names: numbers of the specification, failures, zones, keys. */
    public static final int RECORD_FIXED_CHARS = 1300;
    /** Characters of a machine in a record beside its name: zone and session with their signs. */
    public static final int RECORD_MACHINE_OVERHEAD_CHARS = 8;
    /** Characters assumed of the name of a machine not yet chosen. */
    public static final int ASSUMED_MACHINE_NAME_CHARS = 9;
    /** Seconds of warning that the pre-emption of a saving task gets beyond its own saving time. */
    public static final double SAVE_GRACE_S = 1.0;
    /** Seconds after a stop order in which nothing else is stopped for the same job. */
    public static final double PREEMPT_PAUSE_S = 3.0;

    /** Seconds that work inside a guarantee waits for room to come free by itself before guests' tasks are stopped. */
    public static final double BEST_EFFORT_PREEMPTION_DELAY_S = 3;

    /** Share of the CPUs that teams without a guarantee keep between them, or none of their tasks would ever end. */
    public static final double BEST_EFFORT_MIN_CPU_SHARE = 0.1;

    /** Seconds before a task's expected end from which its room may be given away: a round, a write and a report. */
    public static final double STANDBY_LEAD_TIME_S = 4;
    /** Seconds after which a task that waits for such room goes back to its queue. */
    public static final double MAX_STANDBY_WAIT_S = 10;
    /** Share of a cheap machine that a job's tasks must be able to fill to be served there in its turn. */
    public static final double MIN_PACKING_SHARE = 0.7;
    /** Seconds within which a machine must be expected to come free to be held for a gang. */
    public static final double MAX_GANG_HOLD_WAIT_S = 60;
    /** Tasks of one waiting accelerator job for which machines are kept from overflowing work. */
    public static final int OVERFLOW_BLOCK_TASKS = 8;
    /** Share of the accelerator machines that may be kept from overflowing work at the same time. */
    public static final double OVERFLOW_BLOCK_SHARE = 0.5;
    /** Seconds for which a machine stays barred: about what short tasks need to run out. */
    public static final double OVERFLOW_BLOCK_S = 30;
    /** Share of its slack that work may wait for cheap machines before it spills to accelerator machines. */
    public static final double OVERFLOW_SLACK_SHARE = 0.75;

    // ---- machines ---------------------------------------------------------------------------------------------
    /** Machines proven gone that are remembered at the least; twice the fleet if that is more. */
    public static final int MIN_REMEMBERED_DEPARTED_MACHINES = 2000;
    /** Jobs finished in a term that are remembered at the least; twice the live ones if that is more. */
    public static final int MIN_REMEMBERED_FINISHED_JOBS = 4000;
    /** Milliseconds between two readings of the machine list; it lags by seconds anyway. */
    public static final int MACHINE_LIST_INTERVAL_MS = 8000;
    /** Milliseconds between two readings of the catalogue; prices move slowly. */
    public static final int MACHINE_TYPES_INTERVAL_MS = 60_000;
    /** Connections to the cloud: rentals, returns and lists side by side, far above what its budget allows. */
    public static final int CLOUD_CONNECTIONS = 3;
    /** Milliseconds a cloud call may take. */
    public static final int CLOUD_TIMEOUT_MS = 4000;
    /** Seconds before the catalogue is asked for again that was not to be had. */
    public static final double CATALOGUE_RETRY_S = 3;

    /** Milliseconds before rentals go on that wait for the cloud's budget. */
    public static final int RENTAL_RATE_LIMIT_RETRY_MS = 250;

    /** Times that a rental without an answer is sent again under its name, and milliseconds between. */
    public static final int MAX_RENTAL_RETRIES = 3;

    public static final int RENTAL_RETRY_MS = 500;

    /** Share of the cloud's calls that rentals may use; lists, returns and the catalogue need the rest. */
    public static final double RENT_CALL_SHARE = 0.6;
    /** Seconds without rentals after the cloud's interface was in trouble. */
    public static final double CLOUD_ERROR_PAUSE_S = 2;
    /** Seconds for which an exhausted kind of machine (type, zone, spot) is not asked for again. */
    public static final double NO_CAPACITY_PAUSE_S = 15.0;

    /** Multiple of the nominal boot time after which a machine counts as never coming up; usual is up to 1.5. */
    public static final double BOOT_TIMEOUT_FACTOR = 2.2;
    /** Seconds added to that, so that quick types are not judged by a hair. */
    public static final double BOOT_TIMEOUT_MARGIN_S = 15.0;
    /** Times its usual boot time after which an ordered machine is not counted on any more, though it may still come. */
    public static final double BOOT_OVERDUE_FACTOR = 1.6;

    /** Seconds in which an observed boot comes to count half as much: a kind in trouble is tried again after a time. */
    public static final double BOOT_HALF_LIFE_S = 120;

    /** Times the nominal boot time that one late machine counts at the most. */
    public static final double MAX_BOOT_RATIO = 4;

    /** Orders that came up in the nominal time which each kind is credited with before any was seen. */
    public static final double BOOT_PRIOR_SAMPLES = 4;

    /** Share of orders that never come up, before any was seen. */
    public static final double BOOT_LOSS_PRIOR = 0.02;

    /** Overdue machines of a kind from which on it may be avoided. */
    public static final int MIN_OVERDUE_MACHINES = 3;

    /** Seconds for which nothing more is ordered of a kind of which most orders are overdue. */
    public static final double OVERDUE_POOL_PAUSE_S = 20;

    /** Seconds assumed of the boot of a machine whose type is not known. */
    public static final double DEFAULT_BOOT_S = 60;

    /** Seconds of work for which a machine is reckoned to be rented, at the least. */
    public static final double MIN_ESTIMATED_RENTAL_S = 30;

    /** More of anything than all machines together have: what a team without a limit may use. */
    public static final double UNLIMITED = 1e12;

    /** Seconds beyond the lease after which a silent machine is returned. */
    public static final double SILENT_RETURN_MARGIN_S = 6.0;
    /** More seconds for which machines of a zone that is silent as a whole are kept: a cut ends, a boot is paid for. */
    public static final double SILENT_ZONE_KEEP_S = 150;
    /** Seconds an idle machine is kept; a rental costs a boot time and at least 60 s. */
    public static final double IDLE_KEEP_S = 20.0;
    /** Seconds of work that a machine must promise before it is rented, at the least. */
    public static final double MIN_WAIT_HORIZON_S = 20.0;
    /** Seconds of queued work that existing machines may be left with, at the most. */
    public static final double MAX_WAIT_HORIZON_S = 90.0;
    /** Share of a job's slack that its tasks may wait for existing machines. */
    public static final double WAIT_HORIZON_SLACK_SHARE = 0.45;
    /** Factor on spot prices for the work that is lost with a machine. */
    public static final double SPOT_RISK = 1.15;
    /** Requests for one kind of machine that are decided at once; a queue of thousands must not wait for ten rounds. */
    public static final int MAX_RENTALS_PER_POOL = 4;
    /** Requests for machines on their way at the same time. */
    public static final int MAX_OPEN_RENTALS = 3;
    /** Seconds' worth of calls that the cloud takes at once. */
    public static final double CLOUD_BURST_S = 2;
    /** Machines named in one rental or return. */
    public static final int MAX_MACHINES_PER_RENTAL = 50;
    /** Names in one return, the protocol's limit. */
    public static final int MAX_MACHINES_PER_RETURN = 100;

    // ---- node -------------------------------------------------------------------------------------------------
    /**
     * Seconds between two turns after which the process has stood still: far more than a slow round takes, and less
     * than a lease or a peer's patience lasts.
     */
    public static final double MIN_PROCESS_PAUSE_S = 2.0;
    /** Milliseconds between turns of a node's clock; everything periodic is a multiple of it. */
    public static final int TICK_MS = 100;

    /** Connections that may wait to be accepted, at the least: a burst of users, or of a few hundred workers. */
    public static final int MIN_ACCEPT_BACKLOG = 512;
    /** Sockets left for users; the load balancer gives a node some hundred at most, and refuses nobody above it. */
    public static final int USER_CONNECTIONS = 100;
    /** Milliseconds after which a connection without a request is closed: workers report and users poll every 5 s. */
    public static final int IDLE_CONNECTION_TIMEOUT_MS = 30_000;
    /** Files and other descriptors of the process: its archive, selectors, listening sockets. */
    public static final int OTHER_FILE_DESCRIPTORS = 40;
    /** MB that a controller takes before its first job, measured: 45 to 52. */
    public static final int MIN_MEMORY_MB = 64;
    /** MB beside the heap, measured: classes, compiled code, stacks and buffers, 45 at rest, with room for its buffers. */
    public static final int NON_HEAP_MB = 80;

    /** Zones that drop off the network and return; operators may set the shares and times. */
    public static final class Zones {
        private Zones() {}

        /** Machines below which a zone is not judged: two may fail by themselves at a time. */
        public static final int LEAST_MACHINES = 3;
        /** Share of silent machines above which a zone is suspect: most of them do not fail by themselves. */
        public static final double SUSPECT_SHARE = 0.5;
        /** Share from which a zone as a whole is silent: some machines are yet to time out, or are on their way back. */
        public static final double LOST_SHARE = 0.8;
        /** Share up to which a suspect zone is present again, well below that on which it became suspect. */
        public static final double CLEAR_SHARE = 0.25;
        /** Share of heard machines from which a lost zone counts as heard. */
        public static final double RETURN_SHARE = 0.5;
        /** Seconds of silence as a whole before a zone is lost: a report interval, so that late reports can still come. */
        public static final double LOST_AFTER_S = 3;
        /** Seconds for which a zone must be heard before it returns: a report interval, on top of its machines' first two. */
        public static final double RETURN_AFTER_S = 2;
        /** The most seconds that repeated losses lengthen this to: about a cut's length. */
        public static final double RETURN_AFTER_MOST_S = 60;
        /** Seconds without a loss after which one is forgotten: twice as long as the longest wait for a return. */
        public static final double CALM_S = 120;
        /** Share of its machines for which a returning zone gets starts at first. */
        public static final double RAMP_START_SHARE = 0.2;
        /** Share by which that grows in a second without trouble: the whole in eight seconds. */
        public static final double RAMP_GROW_SHARE = 0.1;
        /** Share of its machines that may fetch images at the same time. */
        public static final double DOWNLOADS_SHARE = 0.5;
        /** Seconds between two steps of the ramp: a round. */
        public static final double RAMP_STEP_S = 1;
        /** Share of quiet machines above which the ramp falls: more than are late by themselves. */
        public static final double RAMP_QUIET_SHARE = 0.1;
        /** Share of the silent machines that must report to other controllers for the zone not to be the cause. */
        public static final double PEER_REPORT_SHARE = 0.5;
        /** Share of a lost zone's machines that is replaced at once for work that is not urgent. */
        public static final double IMMEDIATE_SUBSTITUTE_SHARE = 0.25;
        /** Seconds in which the whole of them would be replaced: as long as a boot, after which waiting saves nothing. */
        public static final double FULL_SUBSTITUTION_S = 30;
        /** Idle substitutes that may be returned in a round, as a part of the starts that the ramp admits. */
        public static final double SUBSTITUTE_RETURN_SHARE = 0.5;
        /** Substitutes that may be emptied at the same time, as a part of the starts that the ramp admits. */
        public static final double CONCURRENT_MOVES_SHARE = 0.1;
        /** Seconds of work left below which a task ends where it is. */
        public static final double MIN_MOVE_REMAINING_S = 60;
        /** Seconds that a move takes beside saving and fetching: a stop, a report, a round and a start. */
        public static final double MOVE_OVERHEAD_S = 10;
        /** Seconds between two writings of the zones' state for the next leader, while it changes. */
        public static final double STORE_INTERVAL_S = 2;
    }

    /** Admission of submissions by teams' shares when more is asked than the state service takes. */
    public static final class Admission {
        private Admission() {}

        /** Milliseconds up to which turns are final: long enough for most to be told at once, as a pace changes only after. */
        public static final long SCHEDULE_HORIZON_MS = 10_000;
        /** Milliseconds for which a turn lasts: a whole second of rounding, three tries to connect, a lost answer. */
        public static final long TURN_DURATION_MS = 6000;
        /** Milliseconds of a schedule kept beyond that: clocks differ, and the table is published once a second. */
        public static final long SCHEDULE_RETENTION_MS = 2000;
        /** Milliseconds between two plans; the table is as old at the most while a queue is limited. */
        public static final int PLAN_INTERVAL_MS = 1000;
        /** Milliseconds after which a table limits nobody any more: its leader has ended, and so has the next one's start. */
        public static final long TABLE_TTL_MS = 30_000;
        /** Seconds without a confirmation of the table before a controller decides nothing; watches are answered in ten. */
        public static final double STALE_VIEW_S = 15;
        /** The least of that which operators may set: a watch without news, and an answer on its way. */
        public static final double MIN_STALE_VIEW_S = 12;
        /** The most of that which operators may set: users give up after as long. */
        public static final double MAX_STALE_VIEW_S = 60;
        /** Share of the stale view's time after which a controller reads the table itself. */
        public static final double REREAD_AFTER_SHARE = 0.8;
        /** Seconds between two such readings. */
        public static final double REREAD_INTERVAL_S = 1;
        /** Milliseconds between two openings of the watch: a table comes once a second. */
        public static final int WATCH_PAUSE_MS = 200;
        /** Share of the changes a second that submissions may cost while nothing is limited; the leader then needs little. */
        public static final double OPEN_SUBMISSION_SHARE = 0.6;
        /** Seconds after a refusal by the state service in which the leader may need all its part. */
        public static final double STATE_REFUSAL_WINDOW_S = 10;
        /** Share of the changes a second that submissions may always cost: what the leader's flush never uses, less a margin. */
        public static final double MIN_SUBMISSION_SHARE = 0.23;
        /** Share of the changes a second that is planned with; the rest is for elections, versions and notes. */
        public static final double PLANNED_SHARE = 0.95;
        /** What the leader is reckoned to need beyond what it has used lately, as a factor. */
        public static final double LEADER_HEADROOM_FACTOR = 1.15;
        /** Changes that a job costs the leader at the least: its start, its live record's end and its final record. */
        public static final double MIN_WRITES_PER_JOB = 3;
        /** Share of all changes a second by which the lasting pace grows each second, while the leader leaves enough. */
        public static final double RATE_GROWTH_SHARE = 0.004;
        /** Times the lasting pace that the leader must leave for that. */
        public static final double RATE_GROWTH_HEADROOM_FACTOR = 2;
        /** Times its least value that the lasting pace grows to at the most. */
        public static final double MAX_RATE_GROWTH_FACTOR = 1.5;
        /** Milliseconds after its turn in which a submission is met for the first time; a repetition comes a second later. */
        public static final long FIRST_ARRIVAL_WINDOW_MS = 1000;
        /** Seconds over which the leader's changes are averaged. */
        public static final double LEADER_RATE_TIME_CONSTANT_S = 2;
        /** Share of a queue's part at which its turns are aimed: arrivals at single controllers are uneven. */
        public static final double TARGET_SHARE = 0.9;
        /** Seconds' worth of its rate that a token bucket holds: the state service takes a second's worth at once. */
        public static final double BURST_S = 1;
        /** Seconds after which a class that is not asked for has no bucket of its own. */
        public static final double CLASS_BUCKET_IDLE_S = 60;
        /** Classes of a team with a bucket of their own, as users name them; the others share one. */
        public static final int MAX_CLASS_BUCKETS_PER_TEAM = 16;
        /** Tokens that the bucket of a team or queue holds at the least, so that two submissions at once are no flood. */
        public static final double MIN_BURST_TOKENS = 2;
        /**
         * Seconds' worth of a controller's rate by which submissions whose turn has come may overdraw their queue's bucket: the
         * cursor sets their number already, and they come unevenly.
         */
        public static final double OVERDRAFT_S = 10;
        /** Seconds over which rates are smoothed: two rounds of questions to the other controllers. */
        public static final double RATE_TIME_CONSTANT_S = 1.5;
        /** Submissions a second below which a queue is not asked at all. */
        public static final double IDLE_RATE_PER_S = 0.05;
        /** Seconds for which a controller's counts hold; they come once a second. */
        public static final double DEMAND_VALID_S = 3.5;
        /** Seconds' worth of submissions that wait when a flood is first noticed. */
        public static final double FLOOD_ONSET_S = 2;
        /** Milliseconds after which all controllers follow a new limit, and have told a new leader what they counted. */
        public static final long LIMIT_PROPAGATION_MS = 3000;
        /** Seconds over which the submissions that a cursor meets are counted. */
        public static final double ARRIVAL_TIME_CONSTANT_S = 6;
        /** Submissions that the first guess of their number counts as much as. */
        public static final double ARRIVAL_PRIOR_WEIGHT = 3;
        /** Laps a second below which a restored cursor's pace tells nothing: one in three hours. */
        public static final double MIN_LAPS_PER_S = 1e-4;
        /** Seconds after which users give up; from then on no more wait. */
        public static final double USER_GIVE_UP_S = 60;
        /** Share of what may be admitted below which a queue counts as asked for little. */
        public static final double RELEASE_SHARE = 0.8;
        /** Milliseconds for which that must last before it is open again. */
        public static final long RELEASE_AFTER_MS = 5000;
        /** Seconds after an outage, or the return of a controller, without further limits: all come back who were not taken in. */
        public static final double OUTAGE_RECOVERY_S = 5;
        /** Queues that are counted and limited at the most, as users name job classes; more are held back by teams only. */
        public static final int MAX_TRACKED_QUEUES = 64;
        /** Seconds, the longest that users wait for one {@code Retry-After}. */
        public static final int MAX_RETRY_AFTER_S = 30;
        /** Seconds over which answers of the longest time are spread. */
        public static final int RETRY_AFTER_SPREAD_S = 10;
        /** Share of the time until a turn that may still move after which to ask again: it may come sooner than planned. */
        public static final double RECHECK_SHARE = 0.6;
        /** Seconds after which those come back in the mean. */
        public static final double UNDECIDED_MEAN_RETRY_S = 2.5;
        /** Seconds in which a queue that is not limited would take in all who come back; longer, and it is limited. */
        public static final double MAX_DRAIN_S = 10;
        /** Seconds over which submissions come back that were turned away before the leader heard of a flood. */
        public static final int UNDECIDED_RETRY_SPREAD_S = 4;
        /** Seconds over which submissions come back that met a controller with a stale view. */
        public static final int STALE_VIEW_RETRY_SPREAD_S = 2;
    }

    // ---- users ------------------------------------------------------------------------------------------------
    /** Seconds that a user waits for an answer at the most; the protocol's figure for submissions. */
    public static final double USER_REQUEST_TIMEOUT_S = 5;

    /** Seconds after a standstill in which requests are taken for ones that waited in their sockets meanwhile. */
    public static final double SHED_AFTER_PAUSE_S = 0.5;

    /** Seconds without a refusal after which users count as asking no more than the budget allows. */
    public static final double OVERLOAD_CLEAR_S = 10;

    /** Seconds told to users when something cannot be served. */
    public static final int RETRY_AFTER_S = 1;
    /** Final states kept in memory by a node; each takes some 100 bytes. */
    public static final int FINAL_STATE_CACHE_SIZE = 4000;
    /** Milliseconds without one served state request after which a node calls itself unhealthy, if a peer is served. */
    public static final int UNHEALTHY_AFTER_MS = 4000;

    /** Seconds for which a node tells its peers of an abort; several missed words must not lose one. */
    public static final double CANCELLATION_RETENTION_S = 20;

    // ---- peers ------------------------------------------------------------------------------------------------
    /** Milliseconds between words to a peer. */
    public static final int PEER_POLL_INTERVAL_MS = 1000;
    /** Seconds for which what a peer said of itself holds. */
    public static final double PEER_RESPONSE_VALID_S = 3;
    /** Refused connections in a row after which a peer's process counts as ended. */
    public static final int PEER_ENDED_REFUSALS = 2;
    /** Milliseconds between them: longer than a listening queue that is full for a moment. */
    public static final int PEER_REFUSED_RETRY_MS = 250;
    /** Seconds after which a refusal has nothing to do with an earlier one. */
    public static final double PEER_REFUSAL_WINDOW_S = 2.5;
    /** Connections accepted of each peer; all but one are dead and not yet noticed. */
    public static final int MAX_ACCEPTED_PER_PEER = 4;
    /** Milliseconds a peer may take to answer or connect. */
    public static final int PEER_TIMEOUT_MS = 1500;
}
