@0xb1f5d0c9a8e47263;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("plumdale::protocol::wire");

# What entry VMs tell each other in datagrams. Kinds and healths are numbers, so that an unknown one
# is seen and refused.

struct Member {
  id @0 :UInt64;
  zone @1 :UInt64;
  uptime @2 :UInt64;
  refutation @3 :UInt32;
  health @4 :UInt16;
  datagramPort @5 :UInt16;
  datagramAddress @6 :UInt32;
  streamAddress @7 :UInt32;
  streamPort @8 :UInt16;
}

struct LeavingMark {
  upstream @0 :UInt64;
  uptime @1 :UInt64;
}

struct ContentRef {
  key @0 :UInt64;
  revision @1 :UInt64;
  hash @2 :UInt64;
}

struct LoadSummary {
  upstream @0 :UInt64;
  sequence @1 :UInt64;
  age @2 :UInt16;
  blocksTotal @3 :UInt16;
  usedShare @4 :UInt8;
  running @5 :UInt8;
  waiting @6 :UInt8;
}

struct PeerMessage {
  kind @0 :UInt16;
  caughtUp @1 :Bool;
  targetPort @2 :UInt16;
  targetAddress @3 :UInt32;
  sequence @4 :UInt64;
  target @5 :UInt64;
  stampRevision @6 :UInt64;
  stampCount @7 :UInt32;
  stampOperator @8 :UInt64;
  stampPreset @9 :UInt64;
  memberDigest @10 :UInt64;
  markDigest @11 :UInt64;
  contentDigest @12 :UInt64;
  membersAfter @13 :UInt64;
  sender @14 :Member;
  members @15 :List(Member);
  marks @16 :List(LeavingMark);
  content @17 :List(ContentRef);
  loads @18 :List(LoadSummary);
}
