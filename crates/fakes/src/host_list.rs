//! A fake of the platform's host list, which may be outdated and incomplete.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::http::fixed_length_response;
use crate::read_request;

/// One target in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The name of the target.
    pub name: String,
    /// The pool to which it belongs.
    pub pool: String,
    /// The address on which it listens, as IP:PORT.
    pub address: String,
    /// Its data hall.
    pub hall: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// The body of the host list response.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HostListBody {
    /// Whether the list contains all targets.
    pub complete: bool,
    /// The targets.
    pub hosts: Vec<HostEntry>,
}

/// A host list server; clones share the list. `GET /hosts` returns it, `POST /hosts` replaces it.
#[derive(Clone, Default)]
pub struct FakeHostList {
    body: Arc<Mutex<HostListBody>>,
}

impl FakeHostList {
    /// Creates a server with a list.
    pub fn new(body: HostListBody) -> Self {
        Self {
            body: Arc::new(Mutex::new(body)),
        }
    }

    /// Replaces the list.
    pub fn set(&self, body: HostListBody) {
        *self.body.lock().unwrap_or_else(PoisonError::into_inner) = body;
    }

    /// Binds an address, serves the list on this runtime and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn spawn(self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let list = self.clone();
                tokio::spawn(async move {
                    let _ = list.serve_connection(socket).await;
                });
            }
        });
        Ok(bound)
    }

    async fn serve_connection(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut socket, &mut buffer).await? {
            let response = match request.method.as_str() {
                "POST" => match serde_json::from_slice(&request.body) {
                    Ok(body) => {
                        self.set(body);
                        fixed_length_response(200, &[], b"ok\n")
                    }
                    Err(error) => fixed_length_response(400, &[], error.to_string().as_bytes()),
                },
                _ => {
                    let body = self
                        .body
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .clone();
                    let text = serde_json::to_string(&body).unwrap_or_default();
                    fixed_length_response(
                        200,
                        &[("content-type", "application/json")],
                        text.as_bytes(),
                    )
                }
            };
            socket.write_all(&response).await?;
        }
        Ok(())
    }
}
