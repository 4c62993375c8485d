@0xd3a1c5b7e9f24681;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("plumdale::protocol::wire");

# What forwarding entry VMs tell each other.

struct MemberLoad {
  member @0 :UInt64;
  calls @1 :UInt32;
  tokens @2 :UInt32;
  tokensAtEnd @3 :UInt32;
  unread @4 :UInt32;
}

struct ServiceMember {
  name @0 :Text;
  service @1 :Text;
  zone @2 :Text;
  address @3 :UInt32;
  port @4 :UInt16;
  leaving @5 :Bool;
  listed @6 :Bool;
  slots @7 :UInt32;
  revision @8 :UInt64;
  coldMs @9 :UInt32;
  started @10 :UInt64;
  usable @11 :Bool = true;
  startConfirmed @12 :Bool;
}

struct ReaderBeat {
  reader @0 :UInt64;
  beat @1 :UInt64;
}

struct Evacuation {
  zone @0 :UInt64;
  revision @1 :UInt64;
}

struct RequestEvidence {
  request @0 :UInt64;
  ended @1 :UInt64;
  ageMs @2 :UInt32;
}

struct PartEvidence {
  part @0 :UInt64;
  crashed @1 :UInt64;
  request @2 :UInt64;
  ageMs @3 :UInt32;
  idleMs @4 :UInt32;
  isTrial @5 :Bool;
}

struct StatedLimit {
  member @0 :UInt64;
  isStated @1 :Bool;
  perSecond @2 :Float64;
  ageMs @3 :UInt32;
}

# Times that calls took at an upstream over what was expected: logarithms in thousandths.
struct UpstreamSpeed {
  member @0 :UInt64;
  prefill @1 :Int16;
  prefillWeight @2 :UInt16;
  pace @3 :Int16;
  paceWeight @4 :UInt16;
}

struct UpstreamSuspicion {
  member @0 :UInt64;
  kind @1 :UInt8;
  ageMs @2 :UInt32;
}

struct ZoneReach {
  zone @0 :UInt64;
  isReached @1 :Bool;
  ageMs @2 :UInt32;
}

struct WaitingCalls {
  service @0 :UInt64;
  rank @1 :UInt8;
  calls @2 :UInt16;
  oldestMs @3 :UInt32;
}

struct FleetNews {
  sender @0 :UInt64;
  uptime @1 :UInt64;
  sequence @2 :UInt64;
  configuration @3 :UInt64;
  directory @4 :UInt64;
  platformAgeMs @5 :UInt32;
  whole @6 :Bool;
  loads @7 :List(MemberLoad);
  members @8 :List(ServiceMember);
  beat @9 :UInt64;
  readers @10 :List(ReaderBeat);
  spread @11 :UInt64;
  passesOn @12 :Bool;
  origin @13 :UInt64;
  first @14 :UInt64;
  last @15 :UInt64;
  evacuationsAsOf @16 :UInt64;
  evacuations @17 :List(Evacuation);
  quarantine @18 :UInt64;
  evidence @19 :List(RequestEvidence);
  limits @20 :List(StatedLimit);
  asksEvidence @21 :Bool;
  refusalLimits @22 :List(StatedLimit);
  speeds @23 :List(UpstreamSpeed);
  suspicions @24 :List(UpstreamSuspicion);
  zoneReach @25 :List(ZoneReach);
  waiting @26 :List(WaitingCalls);
  parts @27 :List(PartEvidence);
  directoryVersion @28 :UInt32;
}

struct ConfigurationOffer {
  version @0 :UInt64;
  base @1 :UInt64;
  digest @2 :UInt64;
  first @3 :UInt64;
  last @4 :UInt64;
  patch @5 :Data;
  passesOn @6 :Bool;
  origin @7 :UInt64;
  tree @8 :UInt8;
}

struct DirectoryCopy {
  revision @0 :UInt64;
  members @1 :List(ServiceMember);
  evacuationsAsOf @2 :UInt64;
  evacuations @3 :List(Evacuation);
  isRest @4 :Bool;
}

struct HeaderField {
  name @0 :Text;
  value @1 :Text;
}

struct PeerCall {
  configuration @0 :UInt64;
  ageMs @1 :UInt32;
  possibleRuns @2 :UInt32;
  isCounted @3 :Bool;
  method @4 :Text;
  target @5 :Text;
  fields @6 :List(HeaderField);
  body @7 :Data;
}
