@0xd0f3a1c27b6e4a59;

# The protocol between daemons.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Wire::Schema");

struct MemberRecord {
  name @0 :Text;                  # The VM's name.
  incarnation @1 :UInt64;         # Start time of the daemon in nanoseconds; a higher one replaces a lower one.
  heartbeat @2 :UInt64;           # Grows while the daemon lives.
  callerAddress @3 :Text;         # Where callers connect.
  peerAddress @4 :Text;           # Where other daemons connect.
  dataCentre @5 :Text;
  leaving @6 :Bool;
  configurationNumber @7 :UInt64; # The number that the daemon has in force.
  overloaded @8 :Bool;            # Requests wait for the daemon's processor.
  capacity @9 :UInt32;            # Processor share in thousandths of a core; 0 if unknown.
  configurationEra @10 :UInt32;   # The era of configurationNumber; daemons of earlier versions state none.
}

struct KeyedBlob {
  # Opaque state that the decision packages merge by a join: team usage, rollout evidence, verdicts, warmth.
  key @0 :Text;
  value @1 :Data;
}

struct DigestEntry {
  # The part of a member's record that changes often, in one word.
  id @0 :UInt32;                  # Hash of the VM's name and incarnation.
  heartbeat @1 :UInt16;           # Low bits of the heartbeat, compared as serial numbers.
  lag @2 :UInt8;                  # Numbers behind the message's newestNumber; 255: that many or more.
  leaving @3 :Bool;
  overloaded @4 :Bool;
}

struct GossipMessage {
  sender @0 :Text;
  configurationNumber @1 :UInt64;
  digest @2 :List(DigestEntry);
  records @3 :List(MemberRecord);
  wanted @4 :List(UInt32);        # Identifiers whose records the sender lacks.
  blobs @5 :List(KeyedBlob);
  newestNumber @6 :UInt64;        # The highest number of any member; lags count down from it.
  isHeartbeat @7 :Bool;           # Sent by an active member apart from the rounds.
  newestEra @8 :UInt32;           # The era of newestNumber; the lag of a member in another era is 255.
}

struct BranchRequest {
  requestId @0 :Text;
  service @1 :Text;
  route @2 :Text;
  team @3 :Text;
  snapshot @4 :Text;
  version @5 :Text;
  text @6 :Text;
  traceParent @7 :Text;
  timeRemainingMicroseconds @8 :UInt64;
  idempotent @9 :Bool;
  shards @10 :List(Text);
  dataCentres @11 :List(Text);
  configurationNumber @12 :UInt64; # The root's; a branch with a lower one may not know the snapshot yet.
}

struct ResultItem {
  id @0 :Text;
  score @1 :Float64;
}

struct BranchShardAnswer {
  shard @0 :Text;
  snapshot @1 :Text;
  items @2 :List(ResultItem);
}

struct BranchShardFailure {
  shard @0 :Text;
  failure @1 :UInt8;              # Backend::attempt_failure.
}

interface BranchSink {
  # Where a branch streams its answers while the call runs.
  # shardRequests: attempts that the branch has sent to backend servers so far.
  answers @0 (answers :List(BranchShardAnswer), failures :List(BranchShardFailure), shardRequests :UInt32) -> ();
}

struct BranchSummary {
  shardRequests @0 :UInt32;       # Attempts sent to backend servers, for the accounts.
  messages @1 :UInt32;            # Calls of the sink, so that the root waits for those still on their way.
}

struct ConfigurationReply {
  number @0 :UInt64;              # 0: nothing above the number asked for.
  baseNumber @1 :UInt64;          # 0: text is the whole document; else a merge patch against this number.
  text @2 :Text;
  checksum @3 :UInt64;            # Of the whole document's text.
}

struct FeedEntry {
  name @0 :Text;
  revision @1 :UInt64;            # The feed's position when the entry changed.
  deleted @2 :Bool;
  content @3 :Text;
  ageMilliseconds @4 :UInt32;     # Since the first daemon that relays the entry read it from the store.
  erasBehind @5 :UInt16;          # Eras between that of the revision and that of the kind's position.
}

struct FeedKind {
  kind @0 :Text;
  position @1 :UInt64;            # The store's revision up to which the entries are known.
  whole @2 :Bool;                 # Every entry there is, rather than those that changed.
  entries @3 :List(FeedEntry);
  era @4 :UInt32;                 # The era of the position; daemons of earlier versions state none.
  newestPresent @5 :UInt64;       # In that era, the highest revision of any entry that was not deleted.
}

struct FeedPage {
  kinds @0 :List(FeedKind);
}

interface Peer {
  gossip @0 (message :GossipMessage) -> (reply :GossipMessage);
  readConfiguration @1 (aboveNumber :UInt64) -> (reply :ConfigurationReply);
  runBranch @2 (request :BranchRequest, sink :BranchSink) -> (summary :BranchSummary);
  resolveRequest @3 (requestId :Text, fingerprint :UInt64) -> (state :UInt8, answer :Text, status :UInt16);
  ping @4 () -> ();               # Tells a silent connection from a slow call.
}
