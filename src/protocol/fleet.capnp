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
}

struct DirectoryCopy {
  revision @0 :UInt64;
  members @1 :List(ServiceMember);
}
