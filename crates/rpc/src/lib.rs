//! RPC protocol between the processes of cassiagw: tarpc services, messages and transport.

mod client_pool;
mod deployment;
mod endpoint_rpc;
mod forward_peer_rpc;
mod load_report;
mod outcome;
mod peer_rpc;
mod transport;

pub use self::{
    client_pool::ClientPool,
    deployment::Deployment,
    endpoint_rpc::{
        EndpointRpc, EndpointRpcClient, EndpointRpcRequest, EndpointRpcResponse, OpenReply,
        OpenRequest, PullReply, PullRequest, Refusal, Resolution, Work,
    },
    forward_peer_rpc::{
        EngineUpdate, ForwardPeerRpc, ForwardPeerRpcClient, ForwardPeerRpcRequest,
        ForwardPeerRpcResponse, WorkReceipt, WorkReport, ZoneReceipt,
    },
    load_report::LoadReport,
    outcome::{RunStatus, ServiceResponse, StreamEnd},
    peer_rpc::{
        ClaimReply, ClaimRequest, PeerRpc, PeerRpcClient, PeerRpcRequest, PeerRpcResponse,
        SyncReply, SyncRequest,
    },
    transport::{
        RpcError, ServerChannel, accept_loop, connect_endpoint, connect_forward_peer, connect_peer,
        server_channel,
    },
};

pub use cassiagw_core::membership::PeerInfo;
