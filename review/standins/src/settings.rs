//! The settings of a small deployment, as the configuration file has them.

use crate::discovery::Discovery;
use std::net::SocketAddr;

/// One room, one kind of worker and one tenant, with this number of routers and these classes, as JSON objects.
pub fn settings(routers: usize, classes: &str) -> String {
    format!(
        r#"{{"Balancers":{routers},"Rank":0,"Tier":0,"Tiers":["runners"],"Zone":0,"Zones":["room"],"Tick":4000,"RegistryMode":"automatic",
"Classes":[{classes}],"Clients":{{"MarksRetry":true}},"Family":"warm",
"FamilyInfo":{{"PlacementCalls":true,"MissMode":"load","KeepAlive":11000000,"LoadWait":10000000,"LoadPeriod":0,"FreeLoads":0,"LoadShare":0,"SaysCompany":true,"TellsWarm":false,"MemoryMbByKind":[9856.0]}},
"Kinds":["std"],
"Limits":{{"Cancelling":true,"ConnectTimeout":250000,"Keepalive":30000000,"MaxAttempts":4,"MaxRetryAfter":1000000,"MayDuplicate":true,"OpenCap":20000,"Peers":false,"Probing":true,"RetryAfter":true,"StreamsPerConn":32}},
"OverShareWorth":0.05,
"Rules":{{"AnswerSlack":16000,"AskWithin":10000000,"DrainGrace":1000000,"OverloadFor":1000000,"StartCapacity":0.17,"TipMultiple":2.5,"WarmUp":16000000}},
"Telemetry":{{"Names":["q","x1","x0"],"Via":"inline"}},"Tenants":[{{"Name":"clinic","QuotaPerS":200.0,"Share":1.0}}],"Weights":"nominal"}}"#
    )
}

/// The configuration file of the router `n0`.
pub fn configuration(address: SocketAddr, discovery: &Discovery, routers: usize, classes: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{address}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"bulletin":"{}","known":{},"settings":{}}}"#,
        discovery.address,
        discovery.known(),
        settings(routers, classes)
    )
}
