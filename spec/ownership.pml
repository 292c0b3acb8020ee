/* Ownership protocol of docs/design.md, section 4, for one data centre, one shard and two targets.
 *
 * Target A checks grants; target B does not, but refuses a request after its deadline. All timers count down
 * together in tick(), so time needs no bound. A message is modelled by the moment at which its sender's state is
 * read and a later, separate step of its receiver; any step may be delayed for ever. So loss, delay, partition,
 * pause and log outage are all interleavings of the steps below. See README.md for the bounds.
 */

#ifndef MOVES
#define MOVES 1 /* moves started in a run */
#endif
#ifndef DELEGATIONS
#define DELEGATIONS 3 /* delegation records, the first of which is in force at the start */
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef REQUESTS
#define REQUESTS 1 /* whether a request may be between its check and its write */
#endif

#ifndef GRANTS
#define GRANTS 1 /* whether target A checks grants */
#endif
#ifndef ROUTERS
#define ROUTERS 11 /* instances that hold permits and route; the others only acknowledge */
#endif

#define N 4 /* instances */
#ifndef L
#define L 2 /* permit duration in ticks */
#endif
#define STEPS 5 /* versions for each delegation */
#define VERSIONS (DELEGATIONS * STEPS + 1)

#define NONE 0
#define TARGET_A 1
#define TARGET_B 2

#define GROUP_0 7 /* instances 0, 1, 2 */
#define GROUP_1 14 /* instances 1, 2, 3: a majority of it can miss a majority of GROUP_0 */

/* Phases of a coordinator. */
#define ABSENT 0
#define COLLECTING 1
#define INSTALLING 2
#define IDLE 3
#define PREPARING 4
#define WAITING 5
#define COMMITTING 6

#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)
#define MAJORITY(set) ((((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1)) >= 2)
#define VERSION(d, c) ((d) * STEPS + (c) + 1)
#define DELEGATION_OF(v) (((v)-1) / STEPS)
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* An epoch (delegation, counter) is one number; 0 is "no table". A version is made once, by one coordinator. */
byte owner_in[VERSIONS];

/* Instances. */
byte version[N];  /* table version that the instance has recorded and routes by */
byte follows[N];  /* newest delegation that it has confirmed */
byte permit[N];   /* remaining validity */
byte restarts;

/* One permit renewal in flight. */
byte renewal_left, renewal_of, renewal_version;

/* Log: accepted delegation records. `members` are the named incarnations that still run. */
byte log_end;
byte members[DELEGATIONS], coordinator[DELEGATIONS], predecessor[DELEGATIONS];

/* Two appends in flight; `append_expected` is the expected epoch plus one, 0 for none. */
byte append_expected[2], append_writer[2], append_members[2];

/* Coordinators, by delegation. */
byte phase[DELEGATIONS], counter[DELEGATIONS], acks[DELEGATIONS], wait_left[DELEGATIONS];
byte released[DELEGATIONS];     /* whether target A gave the shard up for the current prepare */
byte source[DELEGATIONS];       /* delegation whose group the takeover reads */
byte base[DELEGATIONS];         /* newest version that the takeover found */
byte moves;

/* Target A, and one grant on its way to it. */
byte lease_left, lease_epoch, grant_left, grant_epoch;

/* One request between its check and its write; its instance may be paused there. */
byte request_target, request_epoch, request_left, request_at;

#define CURRENT(d) VERSION(d, counter[d])
/* An instance whose permit came from a newer delegation is no longer the coordinator of an older one. */
#ifdef FAULT_REPLACED_COORDINATOR_ACTS
#define LEADS(d) true
#else
#define LEADS(d) (follows[coordinator[d]] == d)
#endif
/* A process that is paused between check and write applies nothing in between. */
#ifdef EXPOSURE_THREAD_PAUSE
#define RUNS(i) true
#else
#define RUNS(i) (request_target == NONE || request_at != (i))
#endif
#define ROUTES_TO(i, t) (permit[i] > 0 && owner_in[version[i]] == (t))
#define ANY_ROUTES_TO(t) (ROUTES_TO(0, t) || ROUTES_TO(1, t) || ROUTES_TO(2, t) || ROUTES_TO(3, t))
#define DEC(x) x = ((x) > 0 -> (x)-1 : 0)

/* Time. */
#define TIMERS (permit[0] + permit[1] + permit[2] + permit[3] + renewal_left + lease_left + grant_left + request_left)
inline clear_renewal() { renewal_left = 0; renewal_of = 0; renewal_version = 0 }

inline tick() {
  DEC(permit[0]); DEC(permit[1]); DEC(permit[2]); DEC(permit[3]);
  DEC(renewal_left); DEC(lease_left); DEC(grant_left); DEC(request_left);
  for (k : 0 .. DELEGATIONS - 1) { DEC(wait_left[k]) }
#ifndef FAULT_LEASE_FROM_ANSWER
  if :: renewal_left == 0 -> clear_renewal() :: else fi;
#endif
  if :: grant_left == 0 -> grant_epoch = 0 :: else fi;
#ifndef EXPOSURE_NO_DEADLINE
  if :: request_left == 0 -> request_target = NONE; request_epoch = 0; request_at = 0 :: else fi;
#endif
  k = 0
}

/* Permits. A renewal reads the two members of its majority when it is requested, since an earlier request could
 * only shorten the permit. The instance sees the answers at any later moment. */
#define RENEWING (renewal_version != 0)
#define ACKNOWLEDGES(d, j)                                                                       \
  (HAS(members[d], j) && follows[j] == d && version[j] > 0 && DELEGATION_OF(version[j]) == d)
#define REQUEST_RENEWALS(i, d)                                                                   \
  :: d_step { RENEWABLE(i, d) && ACKNOWLEDGES(d, 0) && ACKNOWLEDGES(d, 1) -> renew_from(i, 0, 1) } \
  :: d_step { RENEWABLE(i, d) && ACKNOWLEDGES(d, 0) && ACKNOWLEDGES(d, 2) -> renew_from(i, 0, 2) } \
  :: d_step { RENEWABLE(i, d) && ACKNOWLEDGES(d, 1) && ACKNOWLEDGES(d, 2) -> renew_from(i, 1, 2) } \
  :: d_step { RENEWABLE(i, d) && ACKNOWLEDGES(d, 1) && ACKNOWLEDGES(d, 3) -> renew_from(i, 1, 3) } \
  :: d_step { RENEWABLE(i, d) && ACKNOWLEDGES(d, 2) && ACKNOWLEDGES(d, 3) -> renew_from(i, 2, 3) }
#define RENEWABLE(i, d) (HAS(ROUTERS, i) && !RENEWING && permit[i] < L && follows[i] <= d)
inline renew_from(i, a, b) {
  renewal_of = i; renewal_left = L; renewal_version = MAX(version[a], version[b])
}
#ifdef FAULT_LEASE_FROM_ANSWER
#define PERMIT_LEFT L
#else
#define PERMIT_LEFT renewal_left
#endif
#define RENEW                                                                                    \
  d_step { RENEWING && RUNS(renewal_of) ->                                                       \
    permit[renewal_of] = MAX(permit[renewal_of], PERMIT_LEFT);                                   \
    version[renewal_of] = MAX(version[renewal_of], renewal_version);                             \
    follows[renewal_of] = MAX(follows[renewal_of], DELEGATION_OF(renewal_version));              \
    clear_renewal() }
#define DROP_RENEWAL d_step { RENEWING -> clear_renewal() }

/* Log. A proposer names the epoch that it knows; the record may take effect late, twice, or never. */
#define PROPOSE(k, i, group)                                                                     \
  d_step { log_end < DELEGATIONS - 1 && append_expected[k] == 0 && HAS(members[log_end], i) &&   \
           (k == 0 || append_expected[0] != 0) ->                                                \
    append_expected[k] = log_end + 1; append_writer[k] = i; append_members[k] = group }
#ifdef FAULT_NO_EXPECTED_VERSION
#define ACCEPTED(k) true
#else
#define ACCEPTED(k) (append_expected[k] == log_end + 1)
#endif
inline clear_append(k) { append_expected[k] = 0; append_writer[k] = 0; append_members[k] = 0 }
inline accept(k) {
  log_end++;
  members[log_end] = append_members[k];
  coordinator[log_end] = append_writer[k];
  predecessor[log_end] = append_expected[k] - 1;
  source[log_end] = predecessor[log_end];
  if :: HAS(members[log_end], append_writer[k]) -> phase[log_end] = COLLECTING :: else fi;
  if :: log_end == DELEGATIONS - 1 -> clear_append(0); clear_append(1) :: else fi
}
#define APPEND(k)                                                                                \
  d_step { append_expected[k] != 0 && ACCEPTED(k) && log_end < DELEGATIONS - 1 -> accept(k); clear_append(k) }
#define APPEND_TWICE(k) /* the answer was lost and the writer appends again */                   \
  d_step { append_expected[k] != 0 && ACCEPTED(k) && log_end < DELEGATIONS - 1 -> accept(k) }
#define IGNORE(k) d_step { append_expected[k] != 0 && !ACCEPTED(k) -> clear_append(k) }

/* Takeover. Each step that completes a majority also does what the coordinator does then: doing it later would only
 * lengthen its waits. */
#ifdef FAULT_READS_ONLY_PREDECESSOR
#define COMPLETE(d) true
#else
/* A predecessor of which no answer holds an installed table may never have acted: its own predecessor decides. */
#define COMPLETE(d) (source[d] == 0 || (base[d] > 0 && DELEGATION_OF(base[d]) >= source[d]))
#endif
#define COLLECT(d, j)                                                                            \
  d_step { phase[d] == COLLECTING && RUNS(j) && HAS(members[source[d]], j) && !HAS(acks[d], j) && follows[j] <= d -> \
    follows[j] = d; acks[d] = acks[d] | BIT(j); base[d] = MAX(base[d], version[j]);              \
    if :: MAJORITY(acks[d]) -> finish_collecting(d) :: else fi }
inline finish_collecting(d) {
  acks[d] = 0;
  if
  :: COMPLETE(d) ->
     assert(DELEGATION_OF(acknowledged) >= d || base[d] >= acknowledged);
     owner_in[VERSION(d, 0)] = owner_in[base[d]]; wait_left[d] = L; source[d] = 0; phase[d] = INSTALLING
  :: else -> source[d] = predecessor[source[d]]
  fi
}

/* Records the coordinator's current version at one instance. */
#define TAKES_PART(d, j) (HAS(members[d], j) || HAS(ROUTERS, j))
#define RECORD(d, j)                                                                             \
  d_step { phase[d] >= INSTALLING && RUNS(j) && TAKES_PART(d, j) && follows[j] <= d && version[j] < CURRENT(d) -> \
    follows[j] = d; version[j] = CURRENT(d);                                                     \
    if :: AWAITS_MAJORITY(d) && HAS(members[d], j) -> acks[d] = acks[d] | BIT(j) :: else fi;     \
    if :: MAJORITY(acks[d]) -> acks[d] = 0; finish_recording(d) :: else fi }
#define AWAITS_MAJORITY(d) (phase[d] == INSTALLING || phase[d] == PREPARING || phase[d] == COMMITTING)
inline finish_recording(d) {
  if
  :: phase[d] == PREPARING -> wait_left[d] = L; phase[d] = WAITING
  :: phase[d] == INSTALLING && owner_in[CURRENT(d)] == NONE -> phase[d] = WAITING
  :: phase[d] == INSTALLING && owner_in[CURRENT(d)] != NONE -> phase[d] = IDLE; wait_left[d] = 0
  :: phase[d] == COMMITTING ->
     phase[d] = IDLE; acknowledged = MAX(acknowledged, CURRENT(d));
     for (k : 0 .. DELEGATIONS - 1) {
       assert(k <= d || phase[k] <= COLLECTING || base[k] >= CURRENT(d))
     }
     k = 0
  fi
}

/* Moves. */
#define PREPARE(d)                                                                               \
  d_step { phase[d] == IDLE && LEADS(d) && moves < MOVES && counter[d] < STEPS - 2 ->                        \
    moves++; counter[d]++; owner_in[CURRENT(d)] = NONE; phase[d] = PREPARING }
#ifdef FAULT_NO_WAIT
#define PERMITS_ENDED(d) true
#else
#define PERMITS_ENDED(d) (wait_left[d] == 0 || (APPLIED(d, 0) && APPLIED(d, 1) && APPLIED(d, 2) && APPLIED(d, 3)))
#endif
#define MAY_HOLD_PERMIT(i) (permit[i] > 0 || (RENEWING && renewal_of == (i)))
#define APPLIED(d, i) (version[i] >= CURRENT(d) || !MAY_HOLD_PERMIT(i))
/* A lease never outlives the permit under which it was given, so the full wait covers it. */
#define LEASE_ENDED(d) (!GRANTS || wait_left[d] == 0 || released[d])
#define GRANT(d, t)                                                                              \
  d_step { phase[d] == WAITING && LEADS(d) && PERMITS_ENDED(d) && LEASE_ENDED(d) &&                          \
           (t == TARGET_B || !GRANTS || permit[coordinator[d]] > 0) ->                                      \
    counter[d]++; owner_in[CURRENT(d)] = t; wait_left[d] = 0; released[d] = 0; phase[d] = COMMITTING; \
    if :: t == TARGET_A && GRANTS -> send_grant(coordinator[d], CURRENT(d)) :: else fi }
/* Target A. An instance gives leases only under its own permit, so that no lease outlives the permit. */
#ifdef FAULT_LEASE_WITHOUT_PERMIT
#define LEASE_LEFT(i) L
#define RENEWS_LEASE(i) (owner_in[version[i]] == TARGET_A)
#else
#define LEASE_LEFT(i) permit[i]
#define RENEWS_LEASE(i) ROUTES_TO(i, TARGET_A)
#endif
inline send_grant(i, epoch) { grant_left = LEASE_LEFT(i); grant_epoch = epoch }
#define RENEW_LEASE(i)                                                                           \
  d_step { GRANTS && HAS(ROUTERS, i) && grant_left == 0 && RENEWS_LEASE(i) && version[i] >= lease_epoch && \
           (lease_left < LEASE_LEFT(i) || version[i] > lease_epoch) -> send_grant(i, version[i]) }
#define TAKE_GRANT                                                                               \
  d_step { grant_left > 0 && grant_epoch >= lease_epoch ->                                       \
    if :: grant_epoch == lease_epoch -> lease_left = MAX(lease_left, grant_left)                 \
       :: else -> lease_left = grant_left fi;                                                    \
    lease_epoch = grant_epoch }
#define DROP_GRANT d_step { grant_left > 0 -> grant_left = 0; grant_epoch = 0 }
#define RELEASE(d) /* target A gives the shard up and refuses grants of earlier epochs */        \
  d_step { GRANTS && phase[d] == WAITING && LEADS(d) && counter[d] > 0 && wait_left[d] > 0 && !released[d] && lease_epoch < CURRENT(d) -> \
    lease_left = 0; lease_epoch = CURRENT(d); released[d] = 1 }

/* Requests. */
#define CHECK(i, t)                                                                              \
  d_step { REQUESTS && request_target == NONE && ROUTES_TO(i, t) ->                              \
    request_target = t; request_epoch = version[i]; request_left = permit[i]; request_at = i }
#ifdef EXPOSURE_NO_DEADLINE
#define RUNS_UNCHECKED true
#else
#define RUNS_UNCHECKED (request_left > 0)
#endif
#define WRITE                                                                                    \
  d_step { request_target != NONE ->                                                             \
    if :: request_target == TARGET_A && GRANTS && lease_left > 0 && lease_epoch == request_epoch ->        \
          assert(!ANY_ROUTES_TO(TARGET_B))                                                       \
       :: request_target == TARGET_A && !GRANTS && RUNS_UNCHECKED -> assert(!ANY_ROUTES_TO(TARGET_B)) \
       :: request_target == TARGET_B && RUNS_UNCHECKED ->                                                \
          assert(lease_left == 0 && !ANY_ROUTES_TO(TARGET_A))                                    \
       :: else fi;                                                                               \
    request_target = NONE; request_epoch = 0; request_left = 0; request_at = 0 }

/* Restart. No delegation names the new incarnation yet; nothing of the old state is left. */
inline forget_member(i) {
  for (k : 0 .. DELEGATIONS - 1) {
    members[k] = members[k] & (15 - BIT(i));
    if
    :: k <= log_end && coordinator[k] == i && phase[k] != ABSENT ->
       phase[k] = ABSENT; acks[k] = 0; wait_left[k] = 0; released[k] = 0; source[k] = 0
    :: else
    fi
  }
  k = 0;
  append_members[0] = append_members[0] & (15 - BIT(i));
  append_members[1] = append_members[1] & (15 - BIT(i))
}
#define RESTART(i)                                                                               \
  d_step { restarts < RESTARTS -> restarts++; restart(i) }
inline restart(i) {
#ifdef FAULT_RESTART_TRUSTS_STATE
  forget_member(i);
  permit[i] = L
#else
#ifndef FAULT_RESTART_REJOINS
  forget_member(i);
#endif
  permit[i] = 0; version[i] = 0; follows[i] = 0
#endif
  ;
  if :: renewal_of == i -> clear_renewal() :: else fi;
  if :: request_at == i -> request_target = NONE; request_epoch = 0; request_left = 0; request_at = 0 :: else fi
}

byte acknowledged;  /* newest assignment whose commit the coordinator saw recorded by a majority */
byte k;

#define EACH_INSTANCE(step) :: step(0) :: step(1) :: step(2) :: step(3)
#define EACH_INSTANCE_OF(step, d) :: step(d, 0) :: step(d, 1) :: step(d, 2) :: step(d, 3)
#define COORDINATOR_STEPS(d)                                                                     \
  EACH_INSTANCE_OF(RECORD, d) :: PREPARE(d) :: GRANT(d, TARGET_A) :: GRANT(d, TARGET_B) :: RELEASE(d) \
  REQUEST_RENEWALS(0, d) REQUEST_RENEWALS(1, d) REQUEST_RENEWALS(2, d) REQUEST_RENEWALS(3, d)
#define TAKEOVER_STEPS(d) EACH_INSTANCE_OF(COLLECT, d)
#define APPEND_STEPS(k_)                                                                         \
  :: PROPOSE(k_, 1, GROUP_0) :: PROPOSE(k_, 1, GROUP_1) :: PROPOSE(k_, 2, GROUP_1)               \
  :: APPEND(k_) :: APPEND_TWICE(k_) :: IGNORE(k_)

active proctype system() {
  d_step {
    owner_in[VERSION(0, 0)] = TARGET_A;
    version[0] = 1; version[1] = 1; version[2] = 1; version[3] = 1;
    members[0] = GROUP_0; coordinator[0] = 0; phase[0] = IDLE; acknowledged = 1
  }
end:
  do
  :: d_step { TIMERS > 0 || wait_left[0] > 0 || wait_left[DELEGATIONS - 1] > 0 || wait_left[DELEGATIONS / 2] > 0 -> tick() }
  :: RENEW :: DROP_RENEWAL
  COORDINATOR_STEPS(0)
#if DELEGATIONS > 1
  COORDINATOR_STEPS(1)
  TAKEOVER_STEPS(1)
  APPEND_STEPS(0)
#if DELEGATIONS > 2
  APPEND_STEPS(1)
#endif
#endif
#if DELEGATIONS > 2
  COORDINATOR_STEPS(2)
  TAKEOVER_STEPS(2)
#endif
  EACH_INSTANCE(RENEW_LEASE) :: TAKE_GRANT :: DROP_GRANT
  EACH_INSTANCE(RESTART)
  :: CHECK(0, TARGET_A) :: CHECK(0, TARGET_B) :: CHECK(1, TARGET_A) :: CHECK(1, TARGET_B)
  :: CHECK(2, TARGET_A) :: CHECK(2, TARGET_B) :: CHECK(3, TARGET_A) :: CHECK(3, TARGET_B)
  :: WRITE
  od
}

/* At most one owner, from the instances' view and from the targets' view. */
active proctype monitor() {
end:
  atomic {
    ANY_ROUTES_TO(TARGET_B) && (ANY_ROUTES_TO(TARGET_A) || lease_left > 0) -> assert(false)
  }
}
