@0xae480cca184785cb;

# Frames on the TCP links between entry VMs. Generated code lies in generated/.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("plumdale::protocol::wire");

struct LinkIdentity {
  owner @0 :UInt64;
  uptime @1 :UInt64;
  sequence @2 :UInt64;
  mac @3 :Data;
}

struct LinkHello {
  node @0 :UInt64;
  nonce @1 :Data;
}

struct LinkRequest {
  operation @0 :UInt8;
  kind @1 :UInt8;
  repeatable @2 :Bool;
  streamed @3 :Bool;
  apiKey @4 :Data;
  customer @5 :UInt64;
  model @6 :UInt64;
  generation @7 :LinkIdentity;
  upstreamHint @8 :UInt64;
  nextIndex @9 :UInt32;
  key @10 :UInt64;
  attempt @11 :UInt32;
  promptTokens @12 :UInt32;
  maxTokens @13 :UInt32;
  prefix @14 :List(UInt64);
  # Milliseconds left when it was sent; negative for none. Clocks of two VMs don't agree.
  deadlineMs @15 :Int64 = -1;
  hasBody @16 :Bool;
  body @17 :Data;
  path @18 :Text;
}

struct LinkHead {
  generation @0 :LinkIdentity;
  upstream @1 :UInt64;
}

struct LinkToken {
  generation @0 :LinkIdentity;
  upstream @1 :UInt64;
  index @2 :UInt32;
  text @3 :Data;
}

struct LinkFinished {
  generation @0 :LinkIdentity;
  count @1 :UInt32;
  text @2 :Data;
  status @3 :UInt16 = 200;
}

struct LinkRefused {
  kind @0 :UInt8;
  retryAfterNs @1 :Int64;
  generation @2 :LinkIdentity;
  nextIndex @3 :UInt32;
}

struct LinkContentWanted {
  key @0 :UInt64;
  revision @1 :UInt64;
  hash @2 :UInt64;
}

struct LinkContent {
  wanted @0 :LinkContentWanted;
  key @1 :Text;
  held @2 :Bool;
  text @3 :Data;
}

struct LinkFrame {
  # Which relay or content exchange the frame belongs to; chosen by the side that opened the link.
  exchange @0 :UInt64;
  union {
    hello @1 :LinkHello;
    heartbeat @2 :Void;
    request @3 :LinkRequest;
    head @4 :LinkHead;
    token @5 :LinkToken;
    finished @6 :LinkFinished;
    refused @7 :LinkRefused;
    # The relaying side's caller left, reads too slowly, or reads again.
    gone @8 :Void;
    blocked @9 :Void;
    ready @10 :Void;
    contentWanted @11 :LinkContentWanted;
    content @12 :LinkContent;
  }
}
